package org.ebonypond.bench.report;

import java.math.BigDecimal;
import java.math.MathContext;

/**
 * One figure of the report.
 *
 * @param id names the figure, for example {@code route.added.p50}
 * @param value the figure
 * @param unit the unit of the value
 * @param source the class or command that gave it
 */
public record Row(String id, double value, String unit, String source) {
  private static final MathContext DIGITS = new MathContext(4);

  /** Rejects what a reader of the report could not tell from a measured figure. */
  public Row {
    if (!id.matches("[a-z0-9.-]+")) {
      throw new IllegalArgumentException("invalid row identifier: " + id);
    }
    if (!Double.isFinite(value)) {
      throw new IllegalArgumentException("the value of " + id + " is " + value);
    }
  }

  /** Returns the value with four significant digits, and with all digits of a larger integer. */
  public String text() {
    if (value == Math.rint(value) && Math.abs(value) < 1e15) {
      return String.valueOf((long) value);
    }
    BigDecimal rounded = new BigDecimal(value).round(DIGITS);
    if (rounded.scale() < 0) {
      return rounded.setScale(0).toPlainString();
    }
    return rounded.toPlainString();
  }
}
