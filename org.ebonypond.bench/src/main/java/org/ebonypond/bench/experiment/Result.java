package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What the callers of one run got. */
final class Result {
  static final long WINDOW_MILLIS = 2_000;
  private static final int WORST_WINDOWS = 2;

  private final TreeMap<Long, double[]> windows = new TreeMap<>();
  private final Map<String, double[]> kinds = new TreeMap<>();
  private final Histogram first = new Histogram(3);
  private int asked;
  private int onTime;
  private int late;
  private int refused;

  /** Counts the end of a caller's request. */
  void ended(CallKind k, long arrival, double credit, long firstMillis, boolean wasRefused) {
    asked++;
    if (credit >= k.worth()) {
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

  private static void add(double[] sum, CallKind k, double credit) {
    sum[0] += credit;
    sum[1] += k.worth();
  }

  private static double share(double[] sum) {
    return sum[1] == 0 ? 1 : sum[0] / sum[1];
  }

  /** Returns the credit earned by that owed, 0 to 1. */
  double whole() {
    double[] all = new double[2];
    windows
        .values()
        .forEach(
            w -> {
              all[0] += w[0];
              all[1] += w[1];
            });
    return share(all);
  }

  /** Returns the mean credit of the two worst windows. */
  double worstWindows() {
    return windows.values().stream()
        .mapToDouble(Result::share)
        .sorted()
        .limit(WORST_WINDOWS)
        .average()
        .orElse(1);
  }

  /** Returns the credit of the worst kind of request. */
  double worstKind() {
    return kinds.values().stream().mapToDouble(Result::share).min().orElse(1);
  }

  /** Returns the credit of each window in turn. */
  List<Double> byWindow() {
    List<Double> out = new ArrayList<>();
    windows.values().forEach(w -> out.add(share(w)));
    return out;
  }

  int asked() {
    return asked;
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
