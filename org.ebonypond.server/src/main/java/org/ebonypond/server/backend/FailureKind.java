package org.ebonypond.server.backend;

/** How a call to a backend server failed. */
public enum FailureKind {
  /** No connection was established, so nothing was sent. */
  NOT_SENT,
  /** The backend server declares that it did not run the request. */
  NOT_RUN,
  /**
   * The backend server has another boot identity than expected. A plain service has not run the
   * request then; an engine may have run it.
   */
  OTHER_BOOT,
  /** The connection broke or the answer was invalid; the request may have run. */
  BROKEN,
  /** The backend server rejected the request as invalid. */
  REJECTED
}
