package org.ebonypond.server.timer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ebonypond.time.TimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeriodicTaskTest {
  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    executor.shutdownNow();
  }

  private static boolean runsAgainAfter(TimerService timers, Runnable failure)
      throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    TimerService.Subscription task =
        timers.every(
            1,
            () -> {
              runs.countDown();
              failure.run();
            });
    boolean again = runs.await(5, TimeUnit.SECONDS);
    task.cancel();
    return again;
  }

  private static void fail() {
    throw new IllegalStateException("test");
  }

  private static void recurse() {
    recurse();
  }

  /** Guards against polls, checks or plans that silently end after one failure. */
  @Test
  void failureDoesNotCancelPeriodicTask() throws InterruptedException {
    assertTrue(runsAgainAfter(new EventLoopTimerService(loop), PeriodicTaskTest::fail));
    assertTrue(runsAgainAfter(new ScheduledTimerService(executor), PeriodicTaskTest::fail));
  }

  /** Guards against the same after input so deeply nested that the stack overflows. */
  @Test
  void stackOverflowDoesNotCancelPeriodicTask() throws InterruptedException {
    assertTrue(runsAgainAfter(new EventLoopTimerService(loop), PeriodicTaskTest::recurse));
    assertTrue(runsAgainAfter(new ScheduledTimerService(executor), PeriodicTaskTest::recurse));
  }
}
