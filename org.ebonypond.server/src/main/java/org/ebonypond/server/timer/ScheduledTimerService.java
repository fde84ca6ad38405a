package org.ebonypond.server.timer;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ebonypond.time.TimerService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The timer service of the daemon, on a scheduled executor and the system's monotonic time. */
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
    ScheduledFuture<?> f = executor.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // A fixed delay, so that a process that was frozen does not run the missed periods in a burst.
    ScheduledFuture<?> f =
        executor.scheduleWithFixedDelay(
            guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  static Runnable guarded(Runnable task) {
    // An exception would silently end a periodic task of the executor.
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("timer task failed", e);
      }
    };
  }
}
