package org.ebonypond.bench;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Statistics of the requests of one run. */
final class RoutingResult {
  private static final class Workspace {
    private int sent;
    private int inTime;
  }

  private final Histogram firstToken = new Histogram(3);
  private final Map<String, Workspace> workspaces = new TreeMap<>();
  private int sent;
  private int inTime;
  private int late;
  private int refusedOnArrival;
  private int refusedLater;

  void sent(String workspace) {
    sent++;
    workspaces.computeIfAbsent(workspace, k -> new Workspace()).sent++;
  }

  void firstToken(long millis) {
    firstToken.recordValue(millis);
  }

  void completed(String workspace, boolean beforeDeadline) {
    if (beforeDeadline) {
      inTime++;
      workspaces.computeIfAbsent(workspace, k -> new Workspace()).inTime++;
    } else {
      late++;
    }
  }

  void refused(boolean onArrival) {
    if (onArrival) {
      refusedOnArrival++;
    } else {
      refusedLater++;
    }
  }

  static String header() {
    return "policy             sent  in-time%  late refused(arrival/later)"
        + "  ttft-ms p50/p95/p99     cache%  worst/best workspace in-time%  ejections";
  }

  String line(String policy, double cacheHitRatio, int ejections) {
    double worst = 1;
    double best = 0;
    for (Workspace w : workspaces.values()) {
      double ratio = w.sent == 0 ? 1 : (double) w.inTime / w.sent;
      worst = Math.min(worst, ratio);
      best = Math.max(best, ratio);
    }
    return String.format(
        Locale.ROOT,
        "%-18s %5d  %7.2f %5d    %5d/%-5d           %6d/%6d/%6d   %6.1f    %.2f/%.2f   %d",
        policy,
        sent,
        100.0 * inTime / Math.max(1, sent),
        late,
        refusedOnArrival,
        refusedLater,
        firstToken.getValueAtPercentile(50),
        firstToken.getValueAtPercentile(95),
        firstToken.getValueAtPercentile(99),
        100 * cacheHitRatio,
        100 * worst,
        100 * best,
        ejections);
  }

  /**
   * Checks that every request has exactly one outcome.
   *
   * @throws IllegalStateException if a request has none or more than one
   */
  void check() {
    if (sent != inTime + late + refusedOnArrival + refusedLater) {
      throw new IllegalStateException("some requests have no outcome or more than one");
    }
  }
}
