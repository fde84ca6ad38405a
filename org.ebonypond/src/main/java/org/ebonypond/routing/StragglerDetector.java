package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ejects targets with a higher fraction of slow answers than their peers. An answer is slow when it
 * takes more than {@link #SLOW_FACTOR} times the median of the pool, so that no target is ejected
 * when all are slow. An ejected target receives single requests as probes and is restored after
 * several consecutive answers in time. Thread-safe; each pool has its own lock.
 */
public final class StragglerDetector {
  /** An answer above this multiple of the pool's median latency is slow. */
  public static final double SLOW_FACTOR = 2;

  /** The length in milliseconds of the sliding window of answers. */
  public static final long WINDOW_MILLIS = 30_000;

  /**
   * The interval in milliseconds before the first probe of an ejected target and after a probe that
   * was answered in time; each slow probe doubles it. Every entry sends its own probes: at one per
   * second, eight entries together would send more than the usual load of a group.
   */
  public static final long PROBE_MILLIS = 5_000;

  /** The maximum interval in milliseconds between two probes. */
  public static final long MAX_PROBE_MILLIS = 40_000;

  /** The consecutive probes answered in time after which an ejected target is restored. */
  public static final int PROBES_TO_RESTORE = 3;

  /**
   * The maximum fraction of ejected targets in a pool; at least one target if there are three or
   * more.
   */
  public static final double MAX_EJECTED_SHARE = 0.2;

  /** The minimum fraction of slow answers of a target that is ejected. */
  private static final double MIN_EJECT_SHARE = 0.5;

  /** The minimum difference to the median fraction of slow answers in the pool for an ejection. */
  private static final double MIN_EXCESS_SHARE = 0.3;

  /** The minimum number of answers in the window before a target is compared. */
  private static final int MIN_SAMPLES = 8;

  private final Map<String, Pool> pools = new ConcurrentHashMap<>();

  /**
   * A target that was ejected or restored.
   *
   * @param key the target
   * @param ejected whether it was ejected; otherwise it was restored
   * @param slowShare the fraction of its answers that were slow when it was ejected
   */
  public record Change(String key, boolean ejected, double slowShare) {}

  /**
   * Records the latency of an answer.
   *
   * @param pool the pool of targets that are compared with each other
   * @param key the target
   * @param latencyMillis the latency in milliseconds, infinite for an attempt without an answer,
   *     NaN if there is none
   * @param startedAtMillis when the attempt started, in milliseconds of the entry's clock
   * @param nowMillis the monotonic time in milliseconds
   */
  public void record(
      String pool, String key, double latencyMillis, long startedAtMillis, long nowMillis) {
    if (Double.isNaN(latencyMillis)) {
      return;
    }
    Pool p = pools.computeIfAbsent(pool, k -> new Pool());
    synchronized (p) {
      p.record(key, latencyMillis, startedAtMillis, nowMillis);
    }
  }

  /**
   * Compares the targets of a pool; to be called about once per second.
   *
   * @param pool the pool
   * @param inService the targets that are in service now; others are removed
   * @param nowMillis the monotonic time in milliseconds
   * @return the targets ejected and restored since the last call
   */
  public List<Change> evaluate(String pool, Set<String> inService, long nowMillis) {
    Pool p = pools.get(pool);
    if (p == null) {
      return List.of();
    }
    synchronized (p) {
      return p.evaluate(inService, nowMillis);
    }
  }

  /** Returns the ejected targets of a pool. */
  public Set<String> ejected(String pool) {
    Pool p = pools.get(pool);
    return p == null ? Set.of() : p.ejectedKeys;
  }

  /** Returns whether a probe of an ejected target is due, and if so starts the next interval. */
  public boolean tryProbe(String pool, String key, long nowMillis) {
    Pool p = pools.get(pool);
    if (p == null) {
      return false;
    }
    synchronized (p) {
      Ejection e = p.ejections.get(key);
      if (e == null || nowMillis - e.lastProbeMillis < e.intervalMillis) {
        return false;
      }
      e.lastProbeMillis = nowMillis;
      return true;
    }
  }

  private static double median(double[] sorted) {
    int n = sorted.length;
    return n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
  }

  private record SlowShare(String key, double share) {}

  private static final class Ejection {
    private final long since;
    private long lastProbeMillis;
    private long intervalMillis = PROBE_MILLIS;
    private int probesInTime;
    private final double slowShare;

    Ejection(long now, double slowShare) {
      this.since = now;
      this.lastProbeMillis = now;
      this.slowShare = slowShare;
    }
  }

  /** A ring buffer of the latest answers of a target. */
  private static final class Samples {
    private static final int MAX = 64;
    private final double[] latencies = new double[MAX];
    private final long[] times = new long[MAX];
    private int next;
    private int count;

    void add(double latency, long now) {
      latencies[next] = latency;
      times[next] = now;
      next = (next + 1) % MAX;
      count = Math.min(MAX, count + 1);
    }

    double[] sorted(long now) {
      double[] out = new double[count];
      int n = 0;
      for (int i = 0; i < count; i++) {
        if (now - times[i] <= WINDOW_MILLIS) {
          out[n++] = latencies[i];
        }
      }
      double[] recent = Arrays.copyOf(out, n);
      Arrays.sort(recent);
      return recent;
    }
  }

  /** Guarded by itself, except for the set of ejected keys, which is read without the lock. */
  private static final class Pool {
    private final Map<String, Samples> samples = new HashMap<>();
    private final Map<String, Ejection> ejections = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private volatile Set<String> ejectedKeys = Set.of();
    private double slowAbove = Double.POSITIVE_INFINITY;

    void record(String key, double latency, long startedAt, long now) {
      Ejection e = ejections.get(key);
      if (e == null) {
        samples.computeIfAbsent(key, k -> new Samples()).add(latency, now);
        return;
      }
      if (startedAt < e.since) {
        // This is not a probe but a request that was in flight when the target was ejected.
        return;
      }
      // An infinite latency is never in time, even if the pool has no median yet.
      if (latency <= slowAbove && Double.isFinite(latency)) {
        e.probesInTime++;
        e.intervalMillis = PROBE_MILLIS;
      } else {
        e.probesInTime = 0;
        e.intervalMillis = Math.min(MAX_PROBE_MILLIS, 2 * e.intervalMillis);
      }
      if (e.probesInTime >= PROBES_TO_RESTORE) {
        restore(key, e.slowShare);
      }
    }

    List<Change> evaluate(Set<String> inService, long now) {
      samples.keySet().retainAll(inService);
      if (ejections.keySet().retainAll(inService)) {
        publish();
      }
      Map<String, double[]> recent = new LinkedHashMap<>();
      for (Map.Entry<String, Samples> s : samples.entrySet()) {
        double[] v = s.getValue().sorted(now);
        if (v.length >= MIN_SAMPLES) {
          recent.put(s.getKey(), v);
        }
      }
      int limit = limit(inService.size());
      while (ejections.size() > limit) {
        String first = ejections.keySet().iterator().next();
        restore(first, ejections.get(first).slowShare);
      }
      // With only two targets, the median does not show which of them is slow.
      if (recent.size() >= 3) {
        eject(recent, limit, now);
      }
      List<Change> out = List.copyOf(changes);
      changes.clear();
      return out;
    }

    private static int limit(int targets) {
      return targets < 3 ? 0 : Math.max(1, (int) (targets * MAX_EJECTED_SHARE));
    }

    private void eject(Map<String, double[]> recent, int limit, long now) {
      double[] medians =
          recent.values().stream().mapToDouble(StragglerDetector::median).sorted().toArray();
      slowAbove = SLOW_FACTOR * median(medians);
      List<SlowShare> shares = new ArrayList<>();
      recent.forEach(
          (k, v) -> {
            long slow = Arrays.stream(v).filter(x -> x > slowAbove).count();
            shares.add(new SlowShare(k, (double) slow / v.length));
          });
      double medianShare = median(shares.stream().mapToDouble(SlowShare::share).sorted().toArray());
      shares.sort(
          (a, b) -> {
            int c = Double.compare(b.share(), a.share());
            return c != 0 ? c : a.key().compareTo(b.key());
          });
      for (SlowShare s : shares) {
        if (ejections.size() >= limit
            || s.share() < MIN_EJECT_SHARE
            || s.share() - medianShare < MIN_EXCESS_SHARE) {
          return;
        }
        ejections.put(s.key(), new Ejection(now, s.share()));
        samples.remove(s.key());
        changes.add(new Change(s.key(), true, s.share()));
        publish();
      }
    }

    private void restore(String key, double share) {
      ejections.remove(key);
      changes.add(new Change(key, false, share));
      publish();
    }

    private void publish() {
      ejectedKeys = Set.copyOf(ejections.keySet());
    }
  }
}
