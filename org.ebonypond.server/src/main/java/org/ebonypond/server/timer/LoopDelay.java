package org.ebonypond.server.timer;

import org.ebonypond.time.TimerService;

/**
 * Measures how late an event loop runs its timers, which tells how long its other work waits. Used
 * on that loop.
 */
public final class LoopDelay {
  private static final long CHECK_MILLIS = 100;

  private final TimerService timers;
  private long checkedAt;
  private long delayMillis;

  /** Creates a measurement on the loop of a timer service. */
  public LoopDelay(TimerService timers) {
    this.timers = timers;
    this.checkedAt = timers.nowMillis();
    timers.every(CHECK_MILLIS, this::check);
  }

  private void check() {
    long now = timers.nowMillis();
    delayMillis = Math.max(0, now - checkedAt - CHECK_MILLIS);
    checkedAt = now;
  }

  /** Returns the delay of the last timer, or how late the next one is, in milliseconds. */
  public long millis() {
    return Math.max(delayMillis, timers.nowMillis() - checkedAt - CHECK_MILLIS);
  }
}
