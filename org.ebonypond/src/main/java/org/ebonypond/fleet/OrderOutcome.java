package org.ebonypond.fleet;

/** The outcome of an order. */
public enum OrderOutcome {
  /** The instance has started to execute it. */
  ACCEPTED,
  /** The instance is already in the ordered state. */
  HOLDS,
  /** It conflicts with the state of the instance. */
  CONFLICT,
  /** The instance has seen a higher fencing number or epoch. */
  FENCED,
  /** The address now belongs to another instance, or nothing listens there. */
  ABSENT,
  /** There was no answer; the order may still be executed later. */
  UNKNOWN
}
