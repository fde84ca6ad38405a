package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Detects wrong slopes, from which the capacity figures at the design size are extrapolated. */
class LineTest {
  @Test
  void fitsExactPoints() {
    Random random = new Random(7);
    for (int run = 0; run < 100; run++) {
      double slope = random.nextDouble() * 200 - 100;
      double intercept = random.nextDouble() * 1_000;
      double[] x = random.doubles(2 + random.nextInt(5), 0, 10_000).toArray();
      double[] y = new double[x.length];
      for (int i = 0; i < x.length; i++) {
        y[i] = intercept + slope * x[i];
      }
      Line l = Line.fit(x, y);
      assertEquals(slope, l.slope(), 1e-6);
      assertEquals(intercept, l.intercept(), 1e-2);
    }
  }

  @Test
  void minimisesSquaredErrors() {
    Line l = Line.fit(new double[] {0, 1, 2}, new double[] {0, 3, 3});
    assertEquals(1.5, l.slope(), 1e-12);
    assertEquals(0.5, l.intercept(), 1e-12);
  }

  @Test
  void fewerThanTwoAbscissasAreRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> Line.fit(new double[] {1}, new double[] {1}));
    assertThrows(
        IllegalArgumentException.class, () -> Line.fit(new double[] {1, 1}, new double[] {1, 2}));
  }
}
