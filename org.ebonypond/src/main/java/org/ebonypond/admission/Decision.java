package org.ebonypond.admission;

import org.ebonypond.errors.ErrorCode;

/**
 * What admission decided on a request.
 *
 * @param <R> the reservation
 */
public sealed interface Decision<R> {
  /** Returns the request. */
  AdmissionRequest request();

  /**
   * The request may be dispatched now.
   *
   * @param request the request
   * @param reservation its capacity; the caller of admission releases it
   * @param waitedMillis the time in milliseconds that it waited
   */
  record Admitted<R>(AdmissionRequest request, R reservation, long waitedMillis)
      implements Decision<R> {}

  /**
   * The request waits; a later call of the controller returns its decision.
   *
   * @param request the request
   * @param expectedWaitMillis the estimated wait in milliseconds, or 0 if nothing was measured yet
   */
  record Queued<R>(AdmissionRequest request, long expectedWaitMillis) implements Decision<R> {}

  /**
   * The request was not run and gets its final answer now.
   *
   * @param request the request
   * @param code why
   * @param retryAfterSeconds when to come back, in seconds, at least 1
   * @param expectedMillis the estimated time to the complete answer in milliseconds
   */
  record Refused<R>(
      AdmissionRequest request, ErrorCode code, int retryAfterSeconds, long expectedMillis)
      implements Decision<R> {}
}
