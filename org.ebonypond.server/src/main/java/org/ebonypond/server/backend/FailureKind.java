package org.ebonypond.server.backend;

/** How a call to a backend server failed. */
public enum FailureKind {
  /** No connection could be made, so that nothing was written. */
  NOT_SENT,
  /** The backend server states that it did not run the request. */
  NOT_RUN,
  /** The backend server has another boot identity than expected and did not run the request. */
  OTHER_BOOT,
  /** The connection broke, or the answer was not valid, after the request may have been read. */
  BROKEN,
  /** The backend server answered that the request itself is wrong. */
  REJECTED
}
