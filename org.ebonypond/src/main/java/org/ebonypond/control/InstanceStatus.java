package org.ebonypond.control;

/** The status of an instance in the registry. */
public enum InstanceStatus {
  /** It announces itself and may join groups. */
  UP,

  /** It is shutting down and joins no group; the group that it is in may still serve. */
  LEAVING,

  /** Its announcements have stopped, or the state of its engine differs from its group. */
  DOWN
}
