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

  private final Map<String, Report> reports = new TreeMap<>();
  private boolean traffic;
  private long summed;

  /**
   * Takes the loads of an entry.
   *
   * @param requests the requests that it has received
   */
  public synchronized void report(String entry, long requests, List<HeadLoad> loads, long now) {
    traffic |= requests > 0;
    reports.put(entry, new Report(List.copyOf(loads), now));
  }

  /** Returns whether any entry has received a request. */
  public synchronized boolean hasTraffic() {
    return traffic;
  }

  /** Returns the sum of the loads of all entries but one, by instance. */
  public synchronized List<HeadLoad> others(String entry, long now) {
    return new ArrayList<>(sum(entry, now).values());
  }

  /** Returns the sum of the loads of all entries, by instance. */
  public synchronized Map<String, HeadLoad> all(long now) {
    return sum("", now);
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

  private Map<String, HeadLoad> sum(String except, long now) {
    Map<String, HeadLoad> out = new HashMap<>();
    reports.forEach(
        (name, r) -> {
          if (!name.equals(except) && now - r.at <= EXPIRE_MILLIS) {
            summed += r.loads.size();
            r.loads.forEach(l -> out.merge(l.instance(), l, HeadLoad::plus));
          }
        });
    return out;
  }

  private record Report(List<HeadLoad> loads, long at) {}
}
