package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against wrong slopes, from which every figure at the size to design for is worked out. */
class LineTest {
  @Test
  void findsTheLineOfExactPoints() {
    Random random = new Random(7);
    for (int run = 0; run < 100; run++) {
      double slope = random.nextDouble() * 200 - 100;
      double base = random.nextDouble() * 1_000;
      double[] x = random.doubles(2 + random.nextInt(5), 0, 10_000).toArray();
      double[] y = new double[x.length];
      for (int i = 0; i < x.length; i++) {
        y[i] = base + slope * x[i];
      }
      Line l = Line.fit(x, y);
      assertEquals(slope, l.slope(), 1e-6);
      assertEquals(base, l.base(), 1e-2);
    }
  }

  @Test
  void minimisesTheSquaresOfPointsBesideTheLine() {
    Line l = Line.fit(new double[] {0, 1, 2}, new double[] {0, 3, 3});
    assertEquals(1.5, l.slope(), 1e-12);
    assertEquals(0.5, l.base(), 1e-12);
  }

  @Test
  void onePointOrOneAbscissaIsRefused() {
    assertThrows(
        IllegalArgumentException.class, () -> Line.fit(new double[] {1}, new double[] {1}));
    assertThrows(
        IllegalArgumentException.class, () -> Line.fit(new double[] {1, 1}, new double[] {1, 2}));
  }
}
