package org.ebonypond.bench.report;

/**
 * A straight line through measured points, by least squares.
 *
 * @param slope the rise per unit of x
 * @param base the value at x = 0
 */
public record Line(double slope, double base) {
  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if fewer than two different x are given
   */
  public static Line fit(double[] x, double[] y) {
    if (x.length != y.length || x.length < 2) {
      throw new IllegalArgumentException("a line needs two or more points");
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
      throw new IllegalArgumentException("a line needs two different x");
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
