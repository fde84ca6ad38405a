package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Detects values that the written report shows differently from what was measured. */
class RowsTest {
  @Test
  void csvQuotesSeparatorsAndKeepsMagnitude() {
    Rows rows = new Rows();
    rows.add("a.b", 1_234_567, "B", "a \"quoted\", source");
    rows.add("a.small", 0.000123456, "ms/instance", "Line");
    rows.add("a.large", 123_456.7, "B/s", "x");
    assertEquals(
        List.of(
            "id,value,unit,source",
            "a.b,1234567,B,\"a \"\"quoted\"\", source\"",
            "a.small,0.0001235,ms/instance,Line",
            "a.large,123500,B/s,x"),
        rows.csv());
  }

  @Test
  void rejectsDuplicateIdentifier() {
    Rows rows = new Rows();
    rows.add("a", 1, "B", "x");
    assertThrows(IllegalArgumentException.class, () -> rows.add("a", 2, "B", "x"));
    assertEquals(1, rows.value("a"));
  }

  @Test
  void rejectsValueThatIsNotFinite() {
    Rows rows = new Rows();
    assertThrows(IllegalArgumentException.class, () -> rows.add("a", 0.0 / 0, "B", "x"));
    assertThrows(IllegalArgumentException.class, () -> rows.value("a"));
  }
}
