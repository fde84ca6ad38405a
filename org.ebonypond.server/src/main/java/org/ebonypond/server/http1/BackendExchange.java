package org.ebonypond.server.http1;

/** A request on its way at a backend server. */
public interface BackendExchange {
  /** Gives the request up by closing its connection; the listener hears nothing more. */
  void cancel();

  /**
   * Stops or resumes reading the answer, while whoever takes it is slower than the backend server.
   */
  void reading(boolean on);
}
