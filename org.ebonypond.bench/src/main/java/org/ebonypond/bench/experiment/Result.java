package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Statistics of one run. The credit ratio of a set of requests is the credit that they earned
 * divided by the credit for answering all of them on time, 0 to 1.
 */
final class Result {
  static final long WINDOW_MILLIS = 2_000;
  private static final int WORST_WINDOWS = 2;

  private final TreeMap<Long, double[]> windows = new TreeMap<>();
  private final Map<String, double[]> kinds = new TreeMap<>();
  private final Histogram first = new Histogram(3);
  private int requests;
  private int onTime;
  private int late;
  private int refused;

  /**
   * Counts a request whose caller received an answer or gave up.
   *
   * @param credit the credit earned; 0 without an answer
   * @param firstMillis the time to the first event in milliseconds, or -1 without an answer
   */
  void ended(RequestKind k, long arrival, double credit, long firstMillis, boolean wasRefused) {
    requests++;
    if (credit >= k.fullCredit()) {
      onTime++;
    } else if (credit > 0) {
      late++;
    }
    refused += wasRefused ? 1 : 0;
    if (firstMillis >= 0) {
      first.recordValue(firstMillis);
    }
    add(windows.computeIfAbsent(arrival / WINDOW_MILLIS, w -> new double[2]), k, credit);
    add(kinds.computeIfAbsent(k.name(), n -> new double[2]), k, credit);
  }

  private static void add(double[] sum, RequestKind k, double credit) {
    sum[0] += credit;
    sum[1] += k.fullCredit();
  }

  private static double ratio(double[] sum) {
    return sum[1] == 0 ? 1 : sum[0] / sum[1];
  }

  /** Returns the credit ratio of all requests, 0 to 1. */
  double overallRatio() {
    double[] all = new double[2];
    windows
        .values()
        .forEach(
            w -> {
              all[0] += w[0];
              all[1] += w[1];
            });
    return ratio(all);
  }

  /** Returns the mean credit ratio of the two worst windows. */
  double worstWindowsRatio() {
    return windows.values().stream()
        .mapToDouble(Result::ratio)
        .sorted()
        .limit(WORST_WINDOWS)
        .average()
        .orElse(1);
  }

  /** Returns the credit ratio of the worst kind of request. */
  double worstKindRatio() {
    return kinds.values().stream().mapToDouble(Result::ratio).min().orElse(1);
  }

  /** Returns the credit ratio of each window of arrivals in order of time. */
  List<Double> windowRatios() {
    List<Double> out = new ArrayList<>();
    windows.values().forEach(w -> out.add(ratio(w)));
    return out;
  }

  int requests() {
    return requests;
  }

  int onTime() {
    return onTime;
  }

  int late() {
    return late;
  }

  int refused() {
    return refused;
  }

  long firstMillis(double percentile) {
    return first.getValueAtPercentile(percentile);
  }
}
