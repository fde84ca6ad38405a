package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest observation of the limit that each instance names. An instance without an entry has
 * named none. Thread-safe.
 */
public final class NamedLimits {
  /** The maximum number of limits in one report; at 40 bytes each, a report has at most 2.5 KB. */
  static final int MAX_REPORTED = 64;

  /** The maximum number of instances; far more than the heads of the groups of one service. */
  static final int MAX_INSTANCES = 4_096;

  /**
   * A limit that no answer has confirmed for this long, in milliseconds, is forgotten. The turns of
   * an entry and the answers of all others confirm it much more often.
   */
  static final long EXPIRY_MILLIS = 60_000;

  /**
   * How long the end of a limit is remembered, in milliseconds. By then every process has replaced
   * its older observation.
   */
  static final long ENDED_EXPIRY_MILLIS = 10_000;

  private final Map<String, Observation> observations = new HashMap<>();

  /**
   * Records what an answer of an instance says.
   *
   * @param perSecond the rate; infinite if the answer names no limit
   * @return whether the limit has changed
   */
  public synchronized boolean observe(
      String instance, long startMillis, double perSecond, long now) {
    boolean named = perSecond != Double.POSITIVE_INFINITY;
    return (named || observations.containsKey(instance))
        && put(new Observation(instance, startMillis, perSecond, now, true));
  }

  /**
   * Merges what another process reports.
   *
   * @param passOn whether this process reports them to others as its own
   * @return the limits that have changed
   */
  public synchronized List<NamedLimit> merge(List<NamedLimit> report, boolean passOn, long now) {
    List<NamedLimit> changed = new ArrayList<>();
    for (NamedLimit l : report) {
      long at = now - Math.max(0, l.ageMillis());
      boolean valid = l.perSecond() >= 0;
      if (valid && put(new Observation(l.instance(), l.startMillis(), l.perSecond(), at, passOn))) {
        changed.add(l);
      }
    }
    return changed;
  }

  private boolean put(Observation next) {
    Observation known = observations.get(next.instance);
    boolean outdated =
        known != null
            && (next.startMillis < known.startMillis
                || (next.startMillis == known.startMillis && next.at <= known.at));
    if (outdated || (known == null && observations.size() >= MAX_INSTANCES)) {
      return false;
    }
    observations.put(next.instance, next);
    return (known == null ? Double.POSITIVE_INFINITY : known.perSecond) != next.perSecond;
  }

  /** Returns the rate that an instance accepts; infinite if it has named no limit in this life. */
  public synchronized double perSecond(String instance, long startMillis) {
    Observation o = observations.get(instance);
    return o == null || o.startMillis < startMillis ? Double.POSITIVE_INFINITY : o.perSecond;
  }

  /** Returns the latest observations of this process and those that it passes on. */
  public synchronized List<NamedLimit> own(long now) {
    return report(true, now);
  }

  /** Returns the latest observations of all processes. */
  public synchronized List<NamedLimit> all(long now) {
    return report(false, now);
  }

  private List<NamedLimit> report(boolean ownOnly, long now) {
    observations.values().removeIf(o -> o.isExpired(now));
    return observations.values().stream()
        .filter(o -> o.own || !ownOnly)
        .sorted(Comparator.comparingLong((Observation o) -> o.at).reversed())
        .limit(MAX_REPORTED)
        .map(o -> new NamedLimit(o.instance, o.startMillis, o.perSecond, now - o.at))
        .toList();
  }

  /** Returns the number of instances that name a limit. */
  public synchronized int size() {
    return (int)
        observations.values().stream().filter(o -> o.perSecond != Double.POSITIVE_INFINITY).count();
  }

  private record Observation(
      String instance, long startMillis, double perSecond, long at, boolean own) {
    boolean isExpired(long now) {
      boolean ended = perSecond == Double.POSITIVE_INFINITY;
      return now - at > (ended ? ENDED_EXPIRY_MILLIS : EXPIRY_MILLIS);
    }
  }
}
