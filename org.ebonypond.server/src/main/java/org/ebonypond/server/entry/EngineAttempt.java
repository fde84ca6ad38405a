package org.ebonypond.server.entry;

import org.ebonypond.admission.AdmissionRequest;
import org.ebonypond.routing.Reservation;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.stream.StreamAction;
import org.jspecify.annotations.Nullable;

/** A running attempt of a completion with its reservation. Guarded by the lock of its call. */
final class EngineAttempt {
  final AdmissionRequest admission;
  final Reservation reservation;
  final String causeId;
  private final long offset;
  private final long dispatchedMillis;
  private EngineClient.@Nullable Attempt engine;
  private double firstTokenMillis;

  EngineAttempt(
      AdmissionRequest admission,
      Reservation reservation,
      StreamAction.Dispatch dispatch,
      String causeId,
      long dispatchedMillis) {
    this.admission = admission;
    this.reservation = reservation;
    this.causeId = causeId;
    this.offset = dispatch.offset();
    this.dispatchedMillis = dispatchedMillis;
  }

  /** Sets the handle that stops the attempt. */
  void started(EngineClient.Attempt handle) {
    engine = handle;
  }

  /** Stops the attempt at its engine; has no effect before {@link #started}. */
  void stopEngine() {
    EngineClient.Attempt e = engine;
    engine = null;
    if (e != null) {
      e.stop();
    }
  }

  void onChunk(long nowMillis) {
    if (firstTokenMillis == 0) {
      firstTokenMillis = Math.max(1, nowMillis - dispatchedMillis);
    }
  }

  /** Returns the time from dispatch to the first chunk, in milliseconds; 0 before it. */
  double firstTokenMillis() {
    return firstTokenMillis;
  }

  /**
   * Returns the time between tokens, which is compared between groups.
   *
   * @param delivered the number of chunks of the answer that the caller has
   */
  double tokenMillis(long delivered, long nowMillis) {
    long tokens = delivered - offset - 1;
    double span = nowMillis - dispatchedMillis - firstTokenMillis;
    return tokens > 0 ? Math.max(0, span) / tokens : Double.NaN;
  }
}
