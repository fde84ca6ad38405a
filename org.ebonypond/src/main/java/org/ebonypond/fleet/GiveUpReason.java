package org.ebonypond.fleet;

/** Why the planner gives a group up. */
public enum GiveUpReason {
  /** The head reports that the group is broken. */
  BROKEN,
  /** The head reports another group or none. */
  HEAD_REPORTED_LEFT,
  /** The head has confirmed an order to leave. */
  HEAD_ANSWERED_LEAVE,
  /** The head makes no progress with its requests. */
  STALLED,
  /** A member was ordered to join a later group. */
  MEMBER_TAKEN,
  /** An earlier leader formed the group, whose members may execute its later orders. */
  EARLIER_TERM,
  /** A member has deregistered. */
  MEMBER_GONE,
  /** The heartbeats of a member are missing, and entries see no progress of the group. */
  MEMBER_SILENT,
  /** Not all members report the group. */
  INCOMPLETE,
  /** A member is about to stop. */
  MEMBER_DRAINING,
  /** The members are to form a group of another model. */
  OTHER_MODEL
}
