package org.ebonypond.junit.http;

/** The outcome of submitting a request to a simulated backend server. */
public enum Admission {
  /** The request was admitted. */
  ACCEPTED,
  /** The caller expects another boot identity; the request was not run. */
  WRONG_BOOT,
  /** The engine does not serve the group or model; the request was not run. */
  NOT_LOADED,
  /** A member of the group is missing; the request failed. */
  MEMBER_MISSING,
  /** The request exceeded the ceiling: the server went down and dropped all connections. */
  FELL_OVER,
  /** The server is down after an overload; the connection is dropped. */
  DOWN
}
