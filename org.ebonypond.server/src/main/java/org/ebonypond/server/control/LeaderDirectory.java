package org.ebonypond.server.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.time.TimerService;

/**
 * What only the control leader knows and passes on with its answers to view polls: the processes
 * that poll it and the loads of the backend servers. Thread-safe.
 */
public final class LeaderDirectory {
  /** Processes and loads that were not heard of for this long are left out, in milliseconds. */
  private static final long FORGET_MILLIS = 5_000;

  private final TimerService timers;
  private final Map<String, Heard<EntryInfo>> entries = new HashMap<>();
  private final Map<String, Heard<ReportedLoad>> loads = new HashMap<>();

  /** Creates an empty directory. */
  public LeaderDirectory(TimerService timers) {
    this.timers = timers;
  }

  /** Takes a poll and returns what its sender should know. */
  public synchronized LeaderDigest onPoll(ViewPoll p) {
    long now = timers.nowMillis();
    EntryInfo e = new EntryInfo(p.node(), p.zone(), p.http(), p.ready(), p.incarnation());
    entries.put(p.node(), new Heard<>(e, now));
    loads.values().removeIf(h -> now - h.at >= FORGET_MILLIS);
    List<EntryInfo> known = new ArrayList<>();
    for (Heard<EntryInfo> h : entries.values()) {
      if (p.listEntries() && now - h.at < FORGET_MILLIS) {
        known.add(h.value);
      }
    }
    known.sort(Comparator.comparing(EntryInfo::node));
    List<ReportedLoad> reported = new ArrayList<>();
    for (String instance : p.loadsOf()) {
      Heard<ReportedLoad> h = loads.get(instance);
      if (h != null) {
        reported.add(h.value.olderBy(now - h.at));
      }
    }
    return new LeaderDigest(known, reported);
  }

  /**
   * Returns the processes that have not polled for a time, and forgets them.
   *
   * @param silentMillis the time in milliseconds
   * @param since silence before this time does not count, because this process did not listen
   */
  public synchronized List<EntryInfo> takeSilent(long silentMillis, long since) {
    long now = timers.nowMillis();
    List<EntryInfo> silent = new ArrayList<>();
    entries
        .values()
        .removeIf(h -> now - Math.max(h.at, since) >= silentMillis && silent.add(h.value));
    return silent;
  }

  /** Takes a load. */
  public synchronized void onLoad(ReportedLoad load, long nowMillis) {
    loads.put(load.instance(), new Heard<>(load, nowMillis));
  }

  /** Forgets the loads, as a new leader does. */
  public synchronized void clear() {
    loads.clear();
  }

  private record Heard<T>(T value, long at) {}
}
