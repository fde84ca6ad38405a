package org.ebonypond.admission;

import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;

/** The decision after a failed attempt. */
public sealed interface RetryDecision {
  /** The request is retried immediately at another target. */
  record Retry() implements RetryDecision {}

  /**
   * The caller receives the final error answer immediately.
   *
   * @param code the reason of the error
   * @param outcome whether the request was or may have been run, as stated in the answer
   * @param retryAfterSeconds the delay before a retry in seconds, at least 1
   */
  record Final(ErrorCode code, Outcome outcome, int retryAfterSeconds) implements RetryDecision {}
}
