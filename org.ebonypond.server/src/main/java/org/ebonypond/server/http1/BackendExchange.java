package org.ebonypond.server.http1;

/** A request in flight at a backend server. */
public interface BackendExchange {
  /** Aborts the request by closing its connection; the listener is not called again. */
  void cancel();

  /**
   * Returns whether no other request was sent on the connection before and no answer to another one
   * arrived on it, so that every answer on it belongs to this request.
   */
  boolean isFirstOnConnection();

  /**
   * Pauses or resumes reading the answer, as backpressure while its consumer is slower than the
   * backend server.
   */
  void setReading(boolean on);
}
