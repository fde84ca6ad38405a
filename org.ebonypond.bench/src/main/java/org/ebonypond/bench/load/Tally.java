package org.ebonypond.bench.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts verdicts over the run and per second. Thread-safe. */
final class Tally {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Verdict, Integer> counts = new EnumMap<>(Verdict.class);
  private final Map<Long, Map<Verdict, Integer>> bySecond = new TreeMap<>();
  private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
  private final List<String> notRunKeys = new ArrayList<>();
  private final Map<String, Integer> details = new TreeMap<>();

  /**
   * Counts a verdict.
   *
   * @param second the second of the run in which the request was due
   * @param latencyMillis the time from when the request was due to the end of its answer, in
   *     milliseconds
   */
  synchronized void add(Call c, Verdict v, long second, long latencyMillis, String detail) {
    counts.merge(v, 1, Integer::sum);
    bySecond.computeIfAbsent(second, s -> new EnumMap<>(Verdict.class)).merge(v, 1, Integer::sum);
    if (v == Verdict.CORRECT) {
      latencies.recordValue(latencyMillis);
    } else {
      details.merge(v + " " + detail, 1, Integer::sum);
    }
    if (v == Verdict.NOT_RUN && c.key() != null) {
      notRunKeys.add(c.key());
    }
  }

  synchronized int total() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  synchronized int count(Verdict v) {
    return counts.getOrDefault(v, 0);
  }

  /** Returns the keys whose last answer said that the call was not run. */
  synchronized List<String> notRunKeys() {
    return List.copyOf(notRunKeys);
  }

  synchronized String summary() {
    return String.format(
        "total %d, %s, latency of correct answers ms p50 %d p95 %d p99 %d max %d",
        total(),
        counts,
        latencies.getValueAtPercentile(50),
        latencies.getValueAtPercentile(95),
        latencies.getValueAtPercentile(99),
        latencies.getMaxValue());
  }

  synchronized List<String> details() {
    List<String> out = new ArrayList<>();
    details.forEach((d, n) -> out.add(n + " x " + d));
    return out;
  }

  /** Returns a header and one CSV line per second: the second and the count of each verdict. */
  synchronized List<String> csv() {
    List<String> out = new ArrayList<>();
    StringBuilder header = new StringBuilder("second");
    for (Verdict v : Verdict.values()) {
      header.append(',').append(v.name().toLowerCase(Locale.ROOT));
    }
    out.add(header.toString());
    bySecond.forEach(
        (second, m) -> {
          StringBuilder line = new StringBuilder(String.valueOf(second));
          for (Verdict v : Verdict.values()) {
            line.append(',').append(m.getOrDefault(v, 0));
          }
          out.add(line.toString());
        });
    return out;
  }
}
