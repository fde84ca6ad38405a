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
  /** Another instance answered at the address. */
  MISDIRECTED,
  /** The connection was refused; the instance may still run. */
  REFUSED,
  /** There was no answer; the order may still be executed later. */
  UNKNOWN
}
