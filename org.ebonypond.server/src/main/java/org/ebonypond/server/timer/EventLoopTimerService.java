package org.ebonypond.server.timer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ebonypond.time.TimerService;

/** Timers that run on an event loop, so that their tasks share its state without locks. */
public final class EventLoopTimerService implements TimerService {
  private final EventLoop loop;

  /** Creates a timer service on a loop, which the caller shuts down. */
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
        loop.schedule(ScheduledTimerService.guarded(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // A fixed delay, so that a process that was frozen does not run the missed periods in a burst.
    ScheduledFuture<?> f =
        loop.scheduleWithFixedDelay(
            ScheduledTimerService.guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }
}
