package org.ebonypond.admission;

/** The ways in which an attempt can fail. */
public enum FailureKind {
  /** No byte of the request was sent. */
  NOT_DISPATCHED,
  /** The backend server reported that it did not run the request. */
  REFUSED_NOT_RUN,
  /** The connection was lost after the request may have been sent. */
  CONNECTION_LOST,
  /** No answer, or no further chunk, arrived in time. */
  TIMEOUT,
  /** The backend server answered with an internal error or a malformed answer. */
  UPSTREAM_ERROR,
  /** The backend server rejected the request as invalid; it would fail at any target. */
  CALLER_ERROR
}
