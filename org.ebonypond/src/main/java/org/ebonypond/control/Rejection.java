package org.ebonypond.control;

import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Messages;
import org.jspecify.annotations.Nullable;

/**
 * The reason for rejecting a command.
 *
 * @param code the stable error code
 * @param message the message for the user
 */
record Rejection(ErrorCode code, String message) {
  /** Returns a rejection with the message of the bundle for the code. */
  static Rejection of(ErrorCode code, Object... arguments) {
    return new Rejection(code, Messages.format(code, arguments));
  }

  /** Returns a {@code command-rejected} rejection with a reason. */
  static Rejection because(String pattern, @Nullable Object... arguments) {
    return of(ErrorCode.COMMAND_REJECTED, String.format(pattern, arguments));
  }
}
