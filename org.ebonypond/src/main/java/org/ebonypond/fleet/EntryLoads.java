package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The loads that entries reported: to this control replica if it is their home, otherwise to
 * another one, which passes on the sum. Thread-safe.
 */
public final class EntryLoads {
  /** Loads that are older than this no longer count; entries report several times a second. */
  private static final long EXPIRE_MILLIS = 2_000;

  /** An entry that is silent for this long no longer counts as one of the fleet's entries. */
  private static final long FORGET_MILLIS = 20_000;

  /** The answers within this time share one sum; a fourth of the time between two reports. */
  private static final long SUM_MILLIS = 25;

  private final Map<String, Report> reports = new TreeMap<>();
  private final Map<String, Report> peers = new TreeMap<>();
  private final Map<String, Long> heard = new HashMap<>();
  private Map<String, Report> counted = Map.of();
  private Map<String, LoadTotal> totals = Map.of();
  private long summedAt;
  private boolean traffic;
  private long summed;

  /**
   * Takes the loads of an entry that is at home here.
   *
   * @param requests the requests that it has received
   */
  public synchronized void report(String entry, long requests, List<HeadLoad> loads, long now) {
    recordContact(entry, requests, now);
    reports.put(entry, new Report(byInstance(loads), now));
  }

  /** Takes the news of an entry that is at home at another replica. */
  public synchronized void noteEntry(String entry, long requests, long now) {
    recordContact(entry, requests, now);
    reports.remove(entry);
  }

  /** Takes the sum of the loads of the entries that are at home at another replica. */
  public synchronized void reportPeer(String replica, List<HeadLoad> loads, long now) {
    peers.put(replica, new Report(byInstance(loads), now));
  }

  private void recordContact(String entry, long requests, long now) {
    traffic |= requests > 0;
    heard.put(entry, now);
  }

  private static Map<String, HeadLoad> byInstance(List<HeadLoad> loads) {
    Map<String, HeadLoad> out = new HashMap<>();
    loads.forEach(l -> out.put(l.instance(), l));
    return out;
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

  /** Returns the sum of the loads of the entries that are at home here. */
  public synchronized List<HeadLoad> own(long now) {
    Map<String, LoadTotal> sums = new HashMap<>();
    add(reports, sums, now);
    return sums.values().stream().map(LoadTotal::all).toList();
  }

  /** Returns the number of entries that are at home here. */
  public synchronized int homedEntries() {
    return reports.size();
  }

  /** Returns the number of entries that were heard of lately. */
  public synchronized int entries(long now) {
    heard.values().removeIf(at -> now - at > FORGET_MILLIS);
    return heard.size();
  }

  /** Returns the number of loads that were added up so far. */
  public synchronized long summed() {
    return summed;
  }

  private void sum(long now) {
    if (!totals.isEmpty() && now - summedAt < SUM_MILLIS) {
      return;
    }
    summedAt = now;
    totals = new HashMap<>();
    add(reports, totals, now);
    add(peers, totals, now);
    counted = Map.copyOf(reports);
  }

  private void add(Map<String, Report> from, Map<String, LoadTotal> to, long now) {
    from.values().removeIf(r -> now - r.at > EXPIRE_MILLIS);
    from.forEach(
        (reporter, r) -> {
          summed += r.loads.size();
          r.loads.forEach(
              (instance, l) -> to.computeIfAbsent(instance, LoadTotal::new).add(reporter, l));
        });
  }

  private record Report(Map<String, HeadLoad> loads, long at) {}
}
