package org.ebonypond.time;

/**
 * Bounds the age of what an event loop reads from its sockets. While a loop stands still, calls
 * wait in the buffers of the sockets, where they have no time of arrival, and their callers may
 * give them up. Thread-safe.
 */
public final class ArrivalClock {
  /** Returned if nothing is known of the time of arrival. */
  public static final long UNKNOWN = Long.MIN_VALUE;

  /** The interval at which the event loop reports that it runs, in milliseconds. */
  private static final long TURN_MILLIS = 100;

  /** A longer interval between two reports is a pause, in milliseconds. */
  private static final long MIN_PAUSE_MILLIS = 250;

  /**
   * The time for which calls may still be read that arrived during a pause, in milliseconds: a
   * connection is accepted, registered and read in different turns of the loop.
   */
  private static final long CATCH_UP_MILLIS = 500;

  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private long lastTurn;
  private long pausedSince;
  private long resumedAt;

  /**
   * Creates a clock.
   *
   * @param timers the timers of the event loop that reads the calls
   * @param suspensions detects the pauses during which the clock of {@code timers} stands still
   */
  public ArrivalClock(TimerService timers, SuspensionDetector suspensions) {
    this.timers = timers;
    this.suspensions = suspensions;
    this.lastTurn = timers.nowMillis();
    this.pausedSince = lastTurn;
    this.resumedAt = lastTurn - CATCH_UP_MILLIS;
    timers.every(TURN_MILLIS, this::turn);
  }

  /**
   * Returns the earliest time, in milliseconds of the timer service, at which a call that the loop
   * reads now may have arrived, or {@link #UNKNOWN}.
   */
  public synchronized long earliestArrival() {
    turn();
    if (lastTurn - CATCH_UP_MILLIS < suspensions.resumedAt()) {
      return UNKNOWN;
    }
    return lastTurn - resumedAt < CATCH_UP_MILLIS ? pausedSince : lastTurn - TURN_MILLIS;
  }

  private synchronized void turn() {
    long now = timers.nowMillis();
    if (now - lastTurn > MIN_PAUSE_MILLIS) {
      boolean sinceEarlier = lastTurn - resumedAt < CATCH_UP_MILLIS;
      pausedSince = sinceEarlier ? Math.min(pausedSince, lastTurn) : lastTurn;
      resumedAt = now;
    }
    lastTurn = now;
  }
}
