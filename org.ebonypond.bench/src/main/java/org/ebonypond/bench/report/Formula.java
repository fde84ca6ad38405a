package org.ebonypond.bench.report;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.ToDoubleFunction;

/**
 * A formula over row identifiers with the four operators and parentheses. Identifiers may hold
 * hyphens, so all parts are separated by spaces.
 *
 * @param text the formula, for example {@code 2 * ( size.poll + 4 )}
 */
public record Formula(String text) {
  /** Rejects an empty text. */
  public Formula {
    if (text.isBlank()) {
      throw new IllegalArgumentException("the formula is empty");
    }
  }

  /**
   * Works out the value.
   *
   * @param row gives the value of an identifier
   * @throws IllegalArgumentException if the text is not a formula or {@code row} knows no such
   *     identifier
   */
  public double value(ToDoubleFunction<String> row) {
    Deque<String> left = new ArrayDeque<>(Arrays.asList(text.trim().split(" +")));
    double v = sum(left, row);
    if (!left.isEmpty()) {
      throw new IllegalArgumentException("unexpected " + left.peek() + " in: " + text);
    }
    return v;
  }

  /** Returns the formula with the values in place of the identifiers. */
  public String withValues(ToDoubleFunction<String> row) {
    StringBuilder out = new StringBuilder();
    for (String part : text.trim().split(" +")) {
      boolean isRow = Character.isLetter(part.charAt(0));
      out.append(out.length() == 0 ? "" : " ");
      out.append(isRow ? new Row(part, row.applyAsDouble(part), "", "").text() : part);
    }
    return out.toString();
  }

  private double sum(Deque<String> left, ToDoubleFunction<String> row) {
    double v = product(left, row);
    while (is(left, "+") || is(left, "-")) {
      boolean plus = left.pop().equals("+");
      double next = product(left, row);
      v = plus ? v + next : v - next;
    }
    return v;
  }

  private double product(Deque<String> left, ToDoubleFunction<String> row) {
    double v = factor(left, row);
    while (is(left, "*") || is(left, "/")) {
      boolean times = left.pop().equals("*");
      double next = factor(left, row);
      v = times ? v * next : v / next;
    }
    return v;
  }

  private double factor(Deque<String> left, ToDoubleFunction<String> row) {
    if (left.isEmpty()) {
      throw new IllegalArgumentException("the formula ends early: " + text);
    }
    String part = left.pop();
    if (part.equals("(")) {
      double v = sum(left, row);
      if (!is(left, ")")) {
        throw new IllegalArgumentException("a parenthesis is open in: " + text);
      }
      left.pop();
      return v;
    }
    return Character.isLetter(part.charAt(0)) ? row.applyAsDouble(part) : Double.parseDouble(part);
  }

  private static boolean is(Deque<String> left, String part) {
    return part.equals(left.peek());
  }
}
