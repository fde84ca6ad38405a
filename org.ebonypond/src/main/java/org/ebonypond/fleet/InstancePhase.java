package org.ebonypond.fleet;

/** Where an instance is in its life. */
public enum InstancePhase {
  /** Takes requests. */
  READY,
  /** Has announced that it will stop; takes no new requests. */
  DRAINING,
  /** Has stopped, has deregistered, or was replaced by a later start. */
  GONE
}
