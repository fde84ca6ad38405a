package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The latest loads that each entry reported to this control replica. Thread-safe. */
public final class EntryLoads {
  /** Loads that are older than this no longer count; entries report about four times a second. */
  private static final long EXPIRE_MILLIS = 2_000;

  /** An entry that is silent for this long no longer counts as one of the fleet's entries. */
  private static final long FORGET_MILLIS = 20_000;

  /** The answers within this time share one sum; a fourth of the time between two reports. */
  private static final long SUM_MILLIS = 50;

  private final Map<String, Report> reports = new TreeMap<>();
  private Map<String, Report> counted = Map.of();
  private Map<String, LoadTotal> totals = Map.of();
  private long summedAt;
  private boolean traffic;
  private long summed;

  /**
   * Takes the loads of an entry.
   *
   * @param requests the requests that it has received
   */
  public synchronized void report(String entry, long requests, List<HeadLoad> loads, long now) {
    traffic |= requests > 0;
    Map<String, HeadLoad> byInstance = new HashMap<>();
    loads.forEach(l -> byInstance.put(l.instance(), l));
    reports.put(entry, new Report(byInstance, now));
  }

  /** Returns whether any entry has received a request. */
  public synchronized boolean hasTraffic() {
    return traffic;
  }

  /** Returns the sum of the loads of all entries but one, by instance. */
  public synchronized List<HeadLoad> others(String entry, long now) {
    sum(now);
    Report own = counted.get(entry);
    List<HeadLoad> out = new ArrayList<>(totals.size());
    totals.forEach(
        (instance, t) -> {
          HeadLoad l = t.without(entry, own == null ? null : own.loads.get(instance));
          if (l != null) {
            out.add(l);
          }
        });
    return out;
  }

  /** Returns the sum of the loads of all entries, by instance. */
  public synchronized Map<String, HeadLoad> all(long now) {
    sum(now);
    Map<String, HeadLoad> out = new HashMap<>();
    totals.forEach((instance, t) -> out.put(instance, t.all()));
    return out;
  }

  /** Returns the number of entries that have reported lately. */
  public synchronized int entries(long now) {
    reports.values().removeIf(r -> now - r.at > FORGET_MILLIS);
    return reports.size();
  }

  /** Returns the number of loads that were added up so far. */
  public synchronized long summed() {
    return summed;
  }

  private void sum(long now) {
    if (!counted.isEmpty() && now - summedAt < SUM_MILLIS) {
      return;
    }
    summedAt = now;
    counted = new HashMap<>();
    totals = new HashMap<>();
    reports.forEach(
        (entry, r) -> {
          if (now - r.at <= EXPIRE_MILLIS) {
            counted.put(entry, r);
            summed += r.loads.size();
            r.loads.forEach(
                (instance, l) -> totals.computeIfAbsent(instance, LoadTotal::new).add(entry, l));
          }
        });
  }

  private record Report(Map<String, HeadLoad> loads, long at) {}
}
