package org.ebonypond.errors;

import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MessagesTest {
  /**
   * Guards against an error code without a message: the lookup would fail and hide the actual
   * error.
   */
  @ParameterizedTest
  @EnumSource(ErrorCode.class)
  void everyCodeHasMessage(ErrorCode code) {
    assertFalse(Messages.format(code, "a", "b", "c", "d").isBlank());
  }
}
