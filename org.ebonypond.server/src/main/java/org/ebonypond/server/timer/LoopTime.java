package org.ebonypond.server.timer;

import org.ebonypond.time.TimerService;

/**
 * The time in which an event loop could do its work: a clock that stands still while the loop is
 * held up, as by a long task or a pause of the process. What arrives meanwhile waits in the
 * sockets, so the silence of a peer is measured by this clock. Used on that loop.
 */
public final class LoopTime {
  /** A timer that is later than this many intervals shows that the loop was held up. */
  private static final int MAX_STEP_INTERVALS = 2;

  private final TimerService timers;
  private final long intervalMillis;
  private final long maxStepMillis;
  private long checkedAt;
  private long checkedMillis;
  private long caughtUpAt;

  /**
   * Starts a clock on the loop of a timer service, with the time of that service.
   *
   * @param intervalMillis the interval of the timer that moves the clock on, in milliseconds
   */
  public LoopTime(TimerService timers, long intervalMillis) {
    this.timers = timers;
    this.intervalMillis = intervalMillis;
    this.maxStepMillis = MAX_STEP_INTERVALS * intervalMillis;
    this.checkedAt = timers.nowMillis();
    this.checkedMillis = checkedAt;
    this.caughtUpAt = checkedAt;
    timers.every(intervalMillis, this::check);
  }

  private void check() {
    long now = timers.nowMillis();
    checkedMillis = millis();
    if (isHeldUp(now)) {
      caughtUpAt = now + intervalMillis;
    }
    checkedAt = now;
  }

  private boolean isHeldUp(long now) {
    return now - checkedAt > maxStepMillis;
  }

  /** Returns the time of this clock, in milliseconds; it never runs backward. */
  public long millis() {
    return checkedMillis + Math.min(timers.nowMillis() - checkedAt, maxStepMillis);
  }

  /**
   * Returns whether the loop was held up and may not have read since what waits in its sockets: the
   * timers that were due may run first.
   */
  public boolean isCatchingUp() {
    long now = timers.nowMillis();
    return now < caughtUpAt || isHeldUp(now);
  }
}
