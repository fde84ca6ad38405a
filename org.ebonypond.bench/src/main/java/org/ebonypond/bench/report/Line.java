package org.ebonypond.bench.report;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param slope the change of y per unit of x
 * @param intercept the value at x = 0
 */
public record Line(double slope, double intercept) {
  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if there are fewer than two different x, or not as many y as x
   */
  public static Line fit(double[] x, double[] y) {
    if (x.length != y.length || x.length < 2) {
      throw new IllegalArgumentException("a line needs two or more points, with as many y as x");
    }
    double meanX = mean(x);
    double meanY = mean(y);
    double xy = 0;
    double xx = 0;
    for (int i = 0; i < x.length; i++) {
      xy += (x[i] - meanX) * (y[i] - meanY);
      xx += (x[i] - meanX) * (x[i] - meanX);
    }
    if (xx == 0) {
      throw new IllegalArgumentException("a line needs two different values of x");
    }
    double slope = xy / xx;
    return new Line(slope, meanY - slope * meanX);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double v : values) {
      sum += v;
    }
    return sum / values.length;
  }
}
