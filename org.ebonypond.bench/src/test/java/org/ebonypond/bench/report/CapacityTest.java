package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Detects wrong arithmetic and wrong comparisons with limits on the capacity page. */
class CapacityTest {
  private static final Map<String, Double> VALUES = Map.of("a.b", 3.0, "x-y", 10.0);

  private static double value(String formula) {
    return new Formula(formula).value(id -> VALUES.getOrDefault(id, Double.NaN));
  }

  @Test
  void followsPrecedenceAndLeftAssociativity() {
    assertEquals(23, value("2 * x-y + a.b"));
    assertEquals(26, value("2 * ( x-y + a.b )"));
    assertEquals(4, value("x-y - a.b - 3"));
    assertEquals(0.5, value("x-y / 2 / 10"));
    assertEquals(7, value("x-y - ( a.b * 1 )"));
    assertEquals("2 * ( 10 + 3 )", new Formula("2 * ( x-y + a.b )").withValues(VALUES::get));
  }

  @Test
  void agreesWithDirectArithmetic() {
    Random random = new Random(11);
    for (int run = 0; run < 200; run++) {
      double a = random.nextInt(1_000);
      double b = 1 + random.nextInt(1_000);
      double c = random.nextInt(1_000);
      double v =
          new Formula("2 * ( a + c ) / b - a * c")
              .value(id -> Map.of("a", a, "b", b, "c", c).get(id));
      assertEquals(2 * (a + c) / b - a * c, v, 1e-9);
    }
  }

  @Test
  void rejectsInvalidFormulas() {
    for (String bad : List.of("2 *", "( 2 + 3", "2 3", "2 + )", "")) {
      assertThrows(IllegalArgumentException.class, () -> value(bad), bad);
    }
  }

  @Test
  void limitIsMaximumUnlessMarkedAsMinimum() {
    assertEquals("yes", Capacity.limitStatus(3.1, "3.1"));
    assertEquals("does not hold yet", Capacity.limitStatus(3.2, "3.1"));
    assertEquals("yes", Capacity.limitStatus(20, "> 19.5"));
    assertEquals("does not hold yet", Capacity.limitStatus(19, "> 19.5"));
    assertEquals("", Capacity.limitStatus(19, ""));
  }

  @Test
  void figuresUseEarlierFiguresAndListTheirRows() {
    Rows rows = new Rows();
    rows.add("size.poll", 73, "B", "SizeRows");
    rows.add("unused", 1, "B", "SizeRows");
    Capacity c =
        new Capacity(
            List.of("# c", "cap.a | 6 * size.poll | B/s |", "cap.b | cap.a / 2 | B/s | 200"));
    List<String> lines = c.markdown(rows);
    assertTrue(
        lines.contains("| `cap.a` | 438 B/s |  |  | `6 * size.poll` = 6 * 73 |"), "" + lines);
    assertTrue(
        lines.contains("| `cap.b` | 219 B/s | 200 | does not hold yet | `cap.a / 2` = 438 / 2 |"),
        "" + lines);
    assertTrue(lines.contains("| `size.poll` | 73 | B | SizeRows |"), "" + lines);
    assertEquals(8, lines.size());
    Rows empty = new Rows();
    assertThrows(IllegalArgumentException.class, () -> c.markdown(empty));
  }

  @Test
  void csvRoundTripKeepsRows() {
    Rows rows = new Rows();
    rows.add("a", 0.0001235, "ms/instance", "a, \"b\"");
    rows.add("b", 17, "B", "x");
    Rows parsed = Rows.parse(rows.csv());
    assertEquals(rows.csv(), parsed.csv());
    assertEquals("a, \"b\"", parsed.row("a").source());
  }
}
