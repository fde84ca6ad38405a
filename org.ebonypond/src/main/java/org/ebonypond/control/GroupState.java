package org.ebonypond.control;

/** The life cycle of a group. Only {@link #READY} groups receive new requests. */
public enum GroupState {
  /** The engines of its members are loading the model. */
  LOADING,
  /** Every member is up and has loaded the model. */
  READY,
  /** At least one member is missing. */
  DOWN,
  /** It finishes its requests and receives no new ones. */
  DRAINING
}
