package org.ebonypond.admission;

import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;

/** Decides whether a failed attempt is retried at another target. Thread-safe. */
public final class RetryPolicy {
  /**
   * The maximum number of attempts; if all of them fail, the request itself is the more likely
   * cause.
   */
  public static final int MAX_ATTEMPTS = 3;

  private final RetryBudget budget;
  private final ServiceRates rates;

  /** Creates a policy that charges its retries to a budget. */
  public RetryPolicy(RetryBudget budget, ServiceRates rates) {
    this.budget = budget;
    this.rates = rates;
  }

  /**
   * Decides on a failed attempt; a retry is charged to the budget.
   *
   * @param f the failed attempt
   * @param nowMillis the monotonic time in milliseconds
   */
  public RetryDecision decide(FailedAttempt f, long nowMillis) {
    if (f.failure() == FailureKind.CALLER_ERROR) {
      return end(ErrorCode.BAD_REQUEST, Outcome.FAILED, f, nowMillis);
    }
    Outcome outcome = outcome(f);
    if (!isRetryable(f.call(), f.failure()) || f.attempts() >= MAX_ATTEMPTS) {
      ErrorCode code =
          outcome == Outcome.OUTCOME_UNKNOWN
              ? ErrorCode.OUTCOME_UNKNOWN
              : ErrorCode.UPSTREAM_FAILED;
      return end(code, outcome, f, nowMillis);
    }
    long needed = rates.serviceMillis(f.pool(), f.remainingTokens());
    if (nowMillis + Math.max(1, needed) > f.deadlineMillis()) {
      return end(ErrorCode.DEADLINE_TOO_CLOSE, outcome, f, nowMillis);
    }
    if (!budget.tryRetry(f.workspace(), nowMillis)) {
      return end(ErrorCode.RETRY_BUDGET_EXHAUSTED, outcome, f, nowMillis);
    }
    return new RetryDecision.Retry();
  }

  /**
   * Returns whether a call may be retried after a failure, regardless of the budget and the
   * deadline.
   */
  public static boolean isRetryable(RetryClass call, FailureKind failure) {
    if (failure == FailureKind.CALLER_ERROR) {
      return false;
    }
    return switch (call) {
      case IDEMPOTENT, MODEL_STREAM -> true;
      case NON_IDEMPOTENT -> failure == FailureKind.NOT_DISPATCHED;
      case NON_IDEMPOTENT_WITHOUT_KEY -> false;
    };
  }

  private static Outcome outcome(FailedAttempt f) {
    // An earlier attempt may have run even if the last one did not.
    boolean notRun =
        f.failure() == FailureKind.NOT_DISPATCHED || f.failure() == FailureKind.REFUSED_NOT_RUN;
    boolean safeToRetry = f.call() == RetryClass.IDEMPOTENT || f.call() == RetryClass.MODEL_STREAM;
    if (safeToRetry) {
      return notRun && f.attempts() <= 1 ? Outcome.NOT_RUN : Outcome.FAILED;
    }
    // A non-idempotent call is retried only if no attempt was dispatched.
    return notRun ? Outcome.NOT_RUN : Outcome.OUTCOME_UNKNOWN;
  }

  private RetryDecision end(ErrorCode code, Outcome outcome, FailedAttempt f, long now) {
    return new RetryDecision.Final(code, outcome, rates.retryAfterSeconds(f.pool(), now));
  }
}
