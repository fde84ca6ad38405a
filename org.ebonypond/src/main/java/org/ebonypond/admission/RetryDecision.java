package org.ebonypond.admission;

import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;

/** What happens after a failed attempt. */
public sealed interface RetryDecision {
  /** The request is tried at another target at once. */
  record Retry() implements RetryDecision {}

  /**
   * The caller gets the final answer at once.
   *
   * @param code why
   * @param outcome what the answer states about the request
   * @param retryAfterSeconds when to come back, in seconds, at least 1
   */
  record Final(ErrorCode code, Outcome outcome, int retryAfterSeconds) implements RetryDecision {}
}
