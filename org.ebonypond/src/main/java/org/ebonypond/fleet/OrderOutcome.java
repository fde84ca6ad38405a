package org.ebonypond.fleet;

/** What became of an order. */
public enum OrderOutcome {
  /** The instance has begun to carry it out. */
  ACCEPTED,
  /** The state that was ordered holds already. */
  HOLDS,
  /** It does not fit the state of the instance. */
  CONFLICT,
  /** A higher fencing number or epoch was seen. */
  FENCED,
  /** The address belongs to another instance now, or nothing listens there. */
  ABSENT,
  /** There was no answer; the order may be carried out later. */
  UNKNOWN
}
