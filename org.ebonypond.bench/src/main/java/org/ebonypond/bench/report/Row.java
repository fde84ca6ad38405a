package org.ebonypond.bench.report;

import java.math.BigDecimal;
import java.math.MathContext;

/**
 * One figure of the report.
 *
 * @param id the identifier, for example {@code route.added.p50}
 * @param value the measured or computed value
 * @param unit the unit of the value
 * @param source the class or command that measured or computed it
 */
public record Row(String id, double value, String unit, String source) {
  private static final MathContext SIGNIFICANT_DIGITS = new MathContext(4);

  /**
   * Rejects invalid identifiers, and values that are not finite, because a reader could not tell
   * them from measured ones.
   */
  public Row {
    if (!id.matches("[a-z0-9.-]+")) {
      throw new IllegalArgumentException("invalid row identifier: " + id);
    }
    if (!Double.isFinite(value)) {
      throw new IllegalArgumentException("the value of " + id + " is " + value);
    }
  }

  /** Returns the value rounded to four significant digits; an integer keeps all its digits. */
  public String text() {
    if (value == Math.rint(value) && Math.abs(value) < 1e15) {
      return String.valueOf((long) value);
    }
    BigDecimal rounded = new BigDecimal(value).round(SIGNIFICANT_DIGITS);
    if (rounded.scale() < 0) {
      return rounded.setScale(0).toPlainString();
    }
    return rounded.toPlainString();
  }
}
