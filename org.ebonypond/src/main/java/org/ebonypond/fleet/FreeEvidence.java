package org.ebonypond.fleet;

/** What shows that the old group of an instance cannot serve, so that it may join a new one. */
public enum FreeEvidence {
  /** It has been in no group since its start. */
  NEVER_IN_GROUP,
  /** No leader formed the group that it reports. */
  FOREIGN_GROUP,
  /** Another instance reports its place in the group. */
  PLACE_TAKEN,
  /** The head reports another group or none; it may have restarted. */
  HEAD_REPORTED_LEFT,
  /** The head has confirmed an order to leave. */
  HEAD_ANSWERED_LEAVE,
  /** The head has confirmed that the group is closed, and no order can open it any more. */
  HEAD_ANSWERED_CLOSE,
  /** The head reports that the group is broken. */
  HEAD_BROKEN,
  /** This leader formed the group and never opened it, or none can open it any more. */
  NEVER_OPENED,
  /** It left long ago enough for the head to have found it missing. */
  WAITED_AFTER_LEAVE,
  /** It is in no group, and the leader has known it for as long as that. */
  WAITED_IN_TERM
}
