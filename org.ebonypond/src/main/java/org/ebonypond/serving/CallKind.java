package org.ebonypond.serving;

/** What may be repeated of a call. */
public enum CallKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Not idempotent: runs at most once for each attempt of the caller. */
  UNSAFE,
  /** A stream of events; idempotent only if its route is resumable. */
  STREAM
}
