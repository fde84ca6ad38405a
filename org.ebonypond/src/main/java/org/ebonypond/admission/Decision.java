package org.ebonypond.admission;

import org.ebonypond.errors.ErrorCode;

/**
 * The admission decision for a request.
 *
 * @param <R> the type of reservations
 */
public sealed interface Decision<R> {
  /** Returns the request. */
  AdmissionRequest request();

  /**
   * The request may be dispatched now.
   *
   * @param request the request
   * @param reservation the capacity reserved for it, which the caller must release
   * @param waitedMillis the time in the queue in milliseconds
   */
  record Admitted<R>(AdmissionRequest request, R reservation, long waitedMillis)
      implements Decision<R> {}

  /**
   * The request is queued; a later call of the controller returns its final decision.
   *
   * @param request the request
   * @param expectedWaitMillis the estimated wait in milliseconds, or 0 if nothing was measured yet
   */
  record Queued<R>(AdmissionRequest request, long expectedWaitMillis) implements Decision<R> {}

  /**
   * The request was refused without being run.
   *
   * @param request the request
   * @param code the reason of the refusal
   * @param retryAfterSeconds the delay before a retry in seconds, at least 1
   * @param expectedMillis the estimated time to the complete answer in milliseconds
   */
  record Refused<R>(
      AdmissionRequest request, ErrorCode code, int retryAfterSeconds, long expectedMillis)
      implements Decision<R> {}
}
