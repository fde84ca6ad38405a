package org.ebonypond.junit.http;

/** What a backend server does with a new request. */
public enum Admission {
  /** The request runs. */
  ACCEPTED,
  /** The caller expects another boot identity; not run. */
  WRONG_BOOT,
  /** The engine does not serve the group or model; not run. */
  NOT_LOADED,
  /** A member of the group is missing; the request fails. */
  MEMBER_MISSING,
  /** The request was one too many: all connections are dropped. */
  FELL_OVER,
  /** The server fails everything; the connection is dropped. */
  DOWN
}
