package org.ebonypond.serving;

/** Whether a call may be repeated. */
public enum CallKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Not idempotent: runs at most once per attempt of the caller. */
  UNSAFE,
  /** A stream of events; idempotent only if its route is resumable. */
  STREAM
}
