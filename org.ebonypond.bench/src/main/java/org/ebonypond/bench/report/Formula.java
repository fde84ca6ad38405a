package org.ebonypond.bench.report;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.ToDoubleFunction;

/**
 * An arithmetic formula over row identifiers with the operators + - * / and parentheses.
 * Identifiers may contain hyphens, so all tokens are separated by spaces.
 *
 * @param text the formula, for example {@code 2 * ( size.poll + 4 )}
 */
public record Formula(String text) {
  /** Checks that the text is not blank. */
  public Formula {
    if (text.isBlank()) {
      throw new IllegalArgumentException("the formula is empty");
    }
  }

  /**
   * Evaluates the formula.
   *
   * @param row returns the value of an identifier
   * @throws IllegalArgumentException if the text is not a formula, or if {@code row} throws it for
   *     an identifier without a value
   */
  public double value(ToDoubleFunction<String> row) {
    Deque<String> tokens = new ArrayDeque<>(Arrays.asList(text.trim().split(" +")));
    double result = sum(tokens, row);
    if (!tokens.isEmpty()) {
      throw new IllegalArgumentException("unexpected token " + tokens.peek() + " in: " + text);
    }
    return result;
  }

  /** Returns the formula with the identifiers replaced by their values. */
  public String withValues(ToDoubleFunction<String> row) {
    StringBuilder out = new StringBuilder();
    for (String token : text.trim().split(" +")) {
      boolean isRow = Character.isLetter(token.charAt(0));
      out.append(out.length() == 0 ? "" : " ");
      out.append(isRow ? new Row(token, row.applyAsDouble(token), "", "").text() : token);
    }
    return out.toString();
  }

  private double sum(Deque<String> tokens, ToDoubleFunction<String> row) {
    double result = product(tokens, row);
    while (nextIs(tokens, "+") || nextIs(tokens, "-")) {
      boolean plus = tokens.pop().equals("+");
      double next = product(tokens, row);
      result = plus ? result + next : result - next;
    }
    return result;
  }

  private double product(Deque<String> tokens, ToDoubleFunction<String> row) {
    double result = factor(tokens, row);
    while (nextIs(tokens, "*") || nextIs(tokens, "/")) {
      boolean times = tokens.pop().equals("*");
      double next = factor(tokens, row);
      result = times ? result * next : result / next;
    }
    return result;
  }

  private double factor(Deque<String> tokens, ToDoubleFunction<String> row) {
    if (tokens.isEmpty()) {
      throw new IllegalArgumentException("the formula is incomplete: " + text);
    }
    String token = tokens.pop();
    if (token.equals("(")) {
      double result = sum(tokens, row);
      if (!nextIs(tokens, ")")) {
        throw new IllegalArgumentException("missing closing parenthesis in: " + text);
      }
      tokens.pop();
      return result;
    }
    return Character.isLetter(token.charAt(0))
        ? row.applyAsDouble(token)
        : Double.parseDouble(token);
  }

  private static boolean nextIs(Deque<String> tokens, String token) {
    return token.equals(tokens.peek());
  }
}
