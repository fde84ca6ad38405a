package org.ebonypond.stream;

import org.ebonypond.errors.ErrorCode;

/** An action that the entry must perform for a streaming model call, in the order of the list. */
public sealed interface StreamAction {
  /**
   * Cancel an attempt at its group.
   *
   * @param attempt the number of the attempt
   */
  record Cancel(int attempt) implements StreamAction {}

  /**
   * Dispatch an attempt.
   *
   * @param attempt the number of the attempt
   * @param offset the value of {@code Ebonypond-Resume-Offset}
   */
  record Dispatch(int attempt, long offset) implements StreamAction {}

  /**
   * Send the caller the final error: a problem body, or an event with it if the stream has begun.
   *
   * @param notRun whether certainly no attempt reached a group
   * @param code the error code
   * @param retryAfterSeconds the value of {@code Retry-After}, in seconds
   */
  record Fail(boolean notRun, ErrorCode code, int retryAfterSeconds) implements StreamAction {}
}
