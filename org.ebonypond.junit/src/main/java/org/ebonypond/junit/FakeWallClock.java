package org.ebonypond.junit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;

/**
 * The time of day of a machine in milliseconds. It runs with a steady clock, except while the
 * machine is suspended. Thread-safe if the steady clock is.
 */
public final class FakeWallClock implements LongSupplier {
  private final TimerService timers;
  private final AtomicLong lead = new AtomicLong();

  /** Creates a clock of a machine that has not been suspended. */
  public FakeWallClock(TimerService timers) {
    this.timers = timers;
  }

  /** Returns a detector for a process on this machine, whose suspensions are not reported. */
  public SuspensionDetector newDetector() {
    return new SuspensionDetector(timers, this, suspendedMillis -> {});
  }

  /** Suspends the machine, whose steady clock stands still meanwhile. */
  public void suspend(long millis) {
    lead.addAndGet(millis);
  }

  @Override
  public long getAsLong() {
    return timers.nowMillis() + lead.get();
  }
}
