package org.ebonypond.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The newest version of the configuration at some times, as a process knows it. The leader of the
 * log knows it by itself; other processes learn it from answers to their polls. An answer tells how
 * old its knowledge is, and the time of the poll, not that of the answer, is the time on the clock
 * of the receiver: an answer that was delayed does not look newer than it is. Not thread-safe.
 */
public final class NewestVersion {
  /**
   * A replica applies a version within a few heartbeats of the log after it has heard of it; more
   * versions than this do not change meanwhile.
   */
  private static final int MAX_VERSIONS = 32;

  /** The latest time at which each version was known to be the newest; both rise. */
  private final TreeMap<Long, Long> times = new TreeMap<>();

  /**
   * Records what a process knows.
   *
   * @param known the newest version at that time
   * @param time the time in milliseconds; {@code Long.MIN_VALUE} if the process does not know
   */
  public void record(long known, long time) {
    if (time == Long.MIN_VALUE || (!times.isEmpty() && time <= times.lastEntry().getValue())) {
      return;
    }
    // A log that was opened again may be behind what this process has recorded.
    times.tailMap(known, true).clear();
    times.put(known, time);
    if (times.size() > MAX_VERSIONS) {
      times.pollFirstEntry();
    }
  }

  /** Records an answer to a poll that was sent at a time, in milliseconds. */
  public void record(FleetPollResult r, long sentAt) {
    if (r.stateAgeMillis() != FleetPollResult.UNCONFIRMED) {
      record(r.version(), sentAt - r.stateAgeMillis());
    }
  }

  /** Returns whether a newer version than the given one is known. */
  public boolean isOutdated(long held) {
    return !times.isEmpty() && times.lastKey() > held;
  }

  /**
   * Returns the latest time at which no newer version than the given one existed, in milliseconds;
   * {@code Long.MIN_VALUE} if none is known.
   */
  public long confirmedAt(long held) {
    Map.Entry<Long, Long> e = times.floorEntry(held);
    return e == null ? Long.MIN_VALUE : e.getValue();
  }
}
