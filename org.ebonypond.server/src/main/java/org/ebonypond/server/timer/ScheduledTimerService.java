package org.ebonypond.server.timer;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ebonypond.time.TimerService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A timer service on a scheduled executor, with the system's monotonic clock. */
public final class ScheduledTimerService implements TimerService {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduledTimerService.class);

  private final ScheduledExecutorService executor;

  /**
   * Creates a timer service.
   *
   * @param executor runs the tasks; the caller shuts it down
   */
  public ScheduledTimerService(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    ScheduledFuture<?> f =
        executor.schedule(loggingFailures(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // Fixed delay, so that a process that was suspended does not run the missed periods in a burst.
    ScheduledFuture<?> f =
        executor.scheduleWithFixedDelay(
            loggingFailures(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  static Runnable loggingFailures(Runnable task) {
    // An uncaught failure would silently cancel a periodic task of the executor. A stack overflow
    // concerns one run only, unlike other errors.
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | StackOverflowError e) {
        LOG.error("timer task failed", e);
      }
    };
  }
}
