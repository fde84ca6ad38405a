package org.ebonypond.server.backend;

/** Runs completions on engines. */
public interface EngineClient {
  /**
   * Starts an attempt.
   *
   * @param request the attempt
   * @param listener receives its progress
   * @return a handle that stops the attempt and cancels the request on the engine; stopping is
   *     silent, the listener is not called any more
   */
  Attempt start(EngineRequest request, EngineListener listener);

  /** A running attempt. */
  interface Attempt {
    /** Stops the attempt; has no effect after its end. */
    void stop();
  }
}
