package org.ebonypond.server.backend;

/** The headers of requests to backend servers and of their answers. */
final class BackendHeaders {
  /** The identifier of the request. */
  static final String REQUEST_ID = "Ebonypond-Request-Id";

  /** The expected boot identity, or in an answer the actual one. */
  static final String BOOT = "Ebonypond-Boot";

  /** Set to {@code true} by a backend server that did not run the request. */
  static final String NOT_RUN = "Ebonypond-Not-Run";

  private BackendHeaders() {}
}
