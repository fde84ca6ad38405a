package org.ebonypond.consensus.internal;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Assertions that are always enabled. */
public final class Invariant {
  private Invariant() {}

  /**
   * Checks an invariant.
   *
   * @throws EbonypondException {@code invariant-violated} if it does not hold
   */
  public static void check(boolean holds, String pattern, Object... arguments) {
    if (!holds) {
      String detail = String.format(pattern, arguments);
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, detail);
    }
  }
}
