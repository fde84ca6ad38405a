package org.ebonypond.admission;

/** How an attempt failed. */
public enum FailureKind {
  /** No byte of the request was sent. */
  NOT_DISPATCHED,
  /** The backend server stated that it did not run the request. */
  REFUSED_NOT_RUN,
  /** The connection was lost after the request may have been sent. */
  CONNECTION_LOST,
  /** No answer, or no further chunk, came in time. */
  TIMEOUT,
  /** The backend server answered with an error of its own, or with a broken answer. */
  UPSTREAM_ERROR,
  /** The backend server rejected the request as wrong; it fails everywhere. */
  CALLER_ERROR
}
