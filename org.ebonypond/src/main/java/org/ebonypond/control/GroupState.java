package org.ebonypond.control;

/** The life cycle of a group. Only {@link #READY} groups serve. */
public enum GroupState {
  /** Its engines load the model. */
  LOADING,
  /** Every member is up and has loaded. */
  READY,
  /** At least one member is missing. */
  DOWN,
  /** It finishes its requests and takes no new ones. */
  DRAINING
}
