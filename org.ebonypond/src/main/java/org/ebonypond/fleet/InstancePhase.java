package org.ebonypond.fleet;

/** The phases of an instance's life cycle. */
public enum InstancePhase {
  /** Accepts requests. */
  READY,
  /** Has announced its shutdown; accepts no new requests. */
  DRAINING,
  /** Has stopped or deregistered, or was replaced by a later start. */
  GONE
}
