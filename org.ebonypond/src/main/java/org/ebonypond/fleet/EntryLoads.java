package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The request load that entries report. An entry reports to its home replica; the other control
 * replicas receive the sum over the entries of each home. Thread-safe.
 */
public final class EntryLoads {
  /** Reports older than this are ignored; entries report several times a second. */
  private static final long REPORT_EXPIRY_MILLIS = 2_000;

  /** An entry not heard from for this long is no longer counted as part of the fleet. */
  private static final long ENTRY_EXPIRY_MILLIS = 20_000;

  /** How long a computed sum is reused; a fourth of the interval between two reports. */
  private static final long SUM_REUSE_MILLIS = 25;

  private final Map<String, Report> reports = new TreeMap<>();
  private final Map<String, Report> peerReports = new TreeMap<>();
  private final Map<String, Long> lastHeard = new HashMap<>();
  private Map<String, Report> summedReports = Map.of();
  private Map<String, LoadTotal> totals = Map.of();
  private long summedAt;
  private boolean traffic;
  private long summed;

  /**
   * Records the load of an entry whose home is this replica.
   *
   * @param requests the number of requests that the entry has received
   */
  public synchronized void report(String entry, long requests, List<InstanceLoad> loads, long now) {
    recordContact(entry, requests, now);
    reports.put(entry, new Report(byInstance(loads), now));
  }

  /** Records contact with an entry whose home is another replica. */
  public synchronized void noteEntry(String entry, long requests, long now) {
    recordContact(entry, requests, now);
    reports.remove(entry);
  }

  /** Records the summed load of the entries whose home is another replica. */
  public synchronized void reportPeer(String replica, List<InstanceLoad> loads, long now) {
    peerReports.put(replica, new Report(byInstance(loads), now));
  }

  private void recordContact(String entry, long requests, long now) {
    traffic |= requests > 0;
    lastHeard.put(entry, now);
  }

  private static Map<String, InstanceLoad> byInstance(List<InstanceLoad> loads) {
    Map<String, InstanceLoad> out = new HashMap<>();
    loads.forEach(l -> out.put(l.instance(), l));
    return out;
  }

  /** Returns whether any entry has received a request. */
  public synchronized boolean hasTraffic() {
    return traffic;
  }

  /** Returns the summed load of all entries except one, one element per instance. */
  public synchronized List<InstanceLoad> others(String entry, long now) {
    updateTotals(now);
    Report own = summedReports.get(entry);
    List<InstanceLoad> out = new ArrayList<>(totals.size());
    totals.forEach(
        (instance, t) -> {
          InstanceLoad l = t.without(entry, own == null ? null : own.loads.get(instance));
          if (l != null) {
            out.add(l);
          }
        });
    return out;
  }

  /** Returns the summed load of all entries, keyed by instance. */
  public synchronized Map<String, InstanceLoad> all(long now) {
    updateTotals(now);
    Map<String, InstanceLoad> out = new HashMap<>();
    totals.forEach((instance, t) -> out.put(instance, t.all()));
    return out;
  }

  /** Returns the summed load of the entries whose home is this replica. */
  public synchronized List<InstanceLoad> own(long now) {
    Map<String, LoadTotal> sums = new HashMap<>();
    add(reports, sums, now);
    return sums.values().stream().map(LoadTotal::all).toList();
  }

  /** Returns the number of entries whose home is this replica. */
  public synchronized int homedEntries() {
    return reports.size();
  }

  /** Returns the number of entries heard from recently. */
  public synchronized int entries(long now) {
    lastHeard.values().removeIf(at -> now - at > ENTRY_EXPIRY_MILLIS);
    return lastHeard.size();
  }

  /** Returns the number of loads summed so far, a measure of the work done. */
  public synchronized long summed() {
    return summed;
  }

  private void updateTotals(long now) {
    if (!totals.isEmpty() && now - summedAt < SUM_REUSE_MILLIS) {
      return;
    }
    summedAt = now;
    totals = new HashMap<>();
    add(reports, totals, now);
    add(peerReports, totals, now);
    summedReports = Map.copyOf(reports);
  }

  private void add(Map<String, Report> from, Map<String, LoadTotal> to, long now) {
    from.values().removeIf(r -> now - r.at > REPORT_EXPIRY_MILLIS);
    from.forEach(
        (reporter, r) -> {
          summed += r.loads.size();
          r.loads.forEach(
              (instance, l) -> to.computeIfAbsent(instance, LoadTotal::new).add(reporter, l));
        });
  }

  private record Report(Map<String, InstanceLoad> loads, long at) {}
}
