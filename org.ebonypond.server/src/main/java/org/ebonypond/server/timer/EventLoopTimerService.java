package org.ebonypond.server.timer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ebonypond.time.TimerService;

/** A timer service on an event loop, whose tasks share the loop's state without locks. */
public final class EventLoopTimerService implements TimerService {
  private final EventLoop loop;

  /** Creates a timer service on an event loop that the caller shuts down. */
  public EventLoopTimerService(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    ScheduledFuture<?> f =
        loop.schedule(
            ScheduledTimerService.loggingFailures(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // Fixed delay, so that a process that was suspended does not run the missed periods in a burst.
    ScheduledFuture<?> f =
        loop.scheduleWithFixedDelay(
            ScheduledTimerService.loggingFailures(task),
            periodMillis,
            periodMillis,
            TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }
}
