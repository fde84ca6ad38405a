package org.ebonypond.server.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.time.TimerService;

/**
 * State that only the control leader has and sends with its replies to view polls: the entries that
 * poll it and the loads of the backend servers. Thread-safe.
 */
public final class LeaderDirectory {
  /** Age in milliseconds from which entries and loads are left out of digests. */
  private static final long EXPIRY_MILLIS = 5_000;

  private final TimerService timers;
  private final Map<String, Timestamped<EntryInfo>> entries = new HashMap<>();
  private final Map<String, Timestamped<ReportedLoad>> loads = new HashMap<>();

  /** Creates an empty directory. */
  public LeaderDirectory(TimerService timers) {
    this.timers = timers;
  }

  /** Records a poll and returns the digest for its sender. */
  public synchronized LeaderDigest onPoll(ViewPoll p) {
    long now = timers.nowMillis();
    EntryInfo e = new EntryInfo(p.node(), p.zone(), p.http(), p.ready(), p.incarnation());
    entries.put(p.node(), new Timestamped<>(e, now));
    loads.values().removeIf(t -> now - t.at >= EXPIRY_MILLIS);
    List<EntryInfo> known = new ArrayList<>();
    for (Timestamped<EntryInfo> t : entries.values()) {
      if (p.listEntries() && now - t.at < EXPIRY_MILLIS) {
        known.add(t.value);
      }
    }
    known.sort(Comparator.comparing(EntryInfo::node));
    List<ReportedLoad> reported = new ArrayList<>();
    for (String instance : p.loadsOf()) {
      Timestamped<ReportedLoad> t = loads.get(instance);
      if (t != null) {
        reported.add(t.value.olderBy(now - t.at));
      }
    }
    return new LeaderDigest(known, reported);
  }

  /**
   * Removes and returns the entries that have not polled for a time.
   *
   * @param silentMillis the time without a poll, in milliseconds
   * @param since the time of this leader's election, in milliseconds; an entry whose last poll is
   *     older counts as if it had polled then
   */
  public synchronized List<EntryInfo> removeSilent(long silentMillis, long since) {
    long now = timers.nowMillis();
    List<EntryInfo> silent = new ArrayList<>();
    entries
        .values()
        .removeIf(t -> now - Math.max(t.at, since) >= silentMillis && silent.add(t.value));
    return silent;
  }

  /** Records a load. */
  public synchronized void onLoad(ReportedLoad load, long nowMillis) {
    loads.put(load.instance(), new Timestamped<>(load, nowMillis));
  }

  /** Removes all loads; called by a new leader. */
  public synchronized void clearLoads() {
    loads.clear();
  }

  private record Timestamped<T>(T value, long at) {}
}
