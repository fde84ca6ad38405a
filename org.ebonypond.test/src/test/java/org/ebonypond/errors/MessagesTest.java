package org.ebonypond.errors;

import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MessagesTest {
  /** Guards against an error code without a message, which would hide the real error. */
  @ParameterizedTest
  @EnumSource(ErrorCode.class)
  void everyCodeHasMessage(ErrorCode code) {
    assertFalse(Messages.format(code, "a", "b", "c", "d").isBlank());
  }
}
