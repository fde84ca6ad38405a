package org.ebonypond.server.logging;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Counts log lines against a limit per second. Thread-safe. */
final class LineBudget {
  private final int linesPerSecond;
  private final AtomicLong currentSecond = new AtomicLong();
  private final AtomicLong linesInSecond = new AtomicLong();

  LineBudget(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Takes one line.
   *
   * @param nowNanos the time of the steady clock
   * @return whether it is within the limit
   */
  boolean take(long nowNanos) {
    long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
    if (currentSecond.getAndSet(second) != second) {
      linesInSecond.set(0);
    }
    return linesInSecond.incrementAndGet() <= linesPerSecond;
  }
}
