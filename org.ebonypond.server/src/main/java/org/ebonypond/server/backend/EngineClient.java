package org.ebonypond.server.backend;

/** Client of the completion interface of engines. */
public interface EngineClient {
  /**
   * Starts an attempt.
   *
   * @param request the request of the attempt
   * @param listener receives its progress
   * @return a handle that stops the attempt and cancels the request on the engine; the listener is
   *     not called after a stop
   */
  Attempt start(EngineRequest request, EngineListener listener);

  /** A running attempt. */
  interface Attempt {
    /** Stops the attempt; has no effect after its end. */
    void stop();
  }
}
