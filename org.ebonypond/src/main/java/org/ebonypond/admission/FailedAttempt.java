package org.ebonypond.admission;

/**
 * A failed attempt of a request.
 *
 * @param workspace the caller's workspace
 * @param pool the model or the service
 * @param call how the call may be retried
 * @param failure how the attempt failed
 * @param attempts the number of attempts so far, at least 1
 * @param remainingTokens the tokens still to be processed or produced; fewer when a stream resumes
 * @param deadlineMillis the time by which the answer must be complete, in milliseconds of the
 *     entry's clock
 */
public record FailedAttempt(
    String workspace,
    String pool,
    RetryClass call,
    FailureKind failure,
    int attempts,
    long remainingTokens,
    long deadlineMillis) {}
