package org.ebonypond.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.time.SuspensionDetector;

/**
 * The newest version of the configuration at some times, as a process knows it. The leader of the
 * log knows it by itself; other processes learn it from answers to their polls. An answer tells how
 * old its knowledge is, and the time of the poll, not that of the answer, is the time on the clock
 * of the receiver: an answer that was delayed does not look newer than it is. Versions only rise,
 * so an older version than a recorded one is never confirmed, even if a leader whose log has lost
 * entries reports it as the newest. What was known before a suspension of the process confirms
 * nothing, since the process cannot tell how old it is. Not thread-safe.
 */
public final class NewestVersion {
  /**
   * A replica applies a version within a few heartbeats of the log after it has heard of it; more
   * versions than this do not change meanwhile.
   */
  private static final int MAX_VERSIONS = 32;

  /** The longest time until a poll is answered or given up, in milliseconds. */
  private static final long MAX_ANSWER_MILLIS = 9_000;

  /** The latest time at which each version was known to be the newest; both rise. */
  private final TreeMap<Long, Long> times = new TreeMap<>();

  private final SuspensionDetector suspensions;

  /**
   * Creates an object without knowledge.
   *
   * @param suspensions detects the suspensions of this process, by the clock of the recorded times
   */
  public NewestVersion(SuspensionDetector suspensions) {
    this.suspensions = suspensions;
  }

  /**
   * Records what a process knows.
   *
   * @param known the newest version at that time
   * @param time the time in milliseconds; {@code Long.MIN_VALUE} if the process does not know
   * @return false if a newer version was known so long before that answers which overtook each
   *     other cannot be the reason: the log has lost a version
   */
  public boolean record(long known, long time) {
    if (time == Long.MIN_VALUE || (!times.isEmpty() && time <= times.lastEntry().getValue())) {
      return true;
    }
    if (isOutdated(known)) {
      return time - times.lastEntry().getValue() <= MAX_ANSWER_MILLIS;
    }
    times.put(known, time);
    if (times.size() > MAX_VERSIONS) {
      times.pollFirstEntry();
    }
    return true;
  }

  /** Records an answer to a poll that was sent at a time, see {@link #record(long, long)}. */
  public boolean record(FleetPollResult r, long sentAt) {
    return r.stateAgeMillis() == FleetPollResult.UNCONFIRMED
        || record(r.version(), sentAt - r.stateAgeMillis());
  }

  /** Returns the newest known version; 0 if none is known. */
  public long version() {
    return times.isEmpty() ? 0 : times.lastKey();
  }

  /**
   * Returns the latest time of which the newest version is known, in milliseconds, also if the
   * process was suspended since; {@code Long.MIN_VALUE} if there is none.
   */
  public long knownAt() {
    return times.isEmpty() ? Long.MIN_VALUE : times.lastEntry().getValue();
  }

  /** Returns whether a newer version than the given one is known. */
  public boolean isOutdated(long held) {
    return !times.isEmpty() && times.lastKey() > held;
  }

  /**
   * Returns the latest time at which no newer version than the given one existed, in milliseconds;
   * {@code Long.MIN_VALUE} if none is known, or none since the process was suspended.
   */
  public long confirmedAt(long held) {
    Map.Entry<Long, Long> e = times.floorEntry(held);
    return e == null || e.getValue() <= suspensions.resumedAt() ? Long.MIN_VALUE : e.getValue();
  }
}
