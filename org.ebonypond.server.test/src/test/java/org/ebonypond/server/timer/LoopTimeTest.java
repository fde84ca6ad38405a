package org.ebonypond.server.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

class LoopTimeTest {
  private static final long INTERVAL_MILLIS = 40;
  private static final long MAX_STEP_MILLIS = 2 * INTERVAL_MILLIS;

  private final ManualTimerService timers = new ManualTimerService();
  private final LoopTime time = new LoopTime(timers, INTERVAL_MILLIS);

  @Test
  void runsWithTheClockWhileTheLoopRuns() {
    for (int i = 0; i < 100; i++) {
      timers.advance(33);
      assertEquals(timers.nowMillis(), time.millis());
      assertFalse(time.isCatchingUp());
    }
  }

  /** Guards against a pause that counts as silence before the first timer after it has run. */
  @Test
  void pauseIsNotCountedBeforeTheTimersRun() {
    timers.advance(1_000);
    timers.jump(5_000);
    assertEquals(1_000 + MAX_STEP_MILLIS, time.millis());
    assertTrue(time.isCatchingUp());
  }

  /**
   * Guards against a pause that counts once the timers have run, and against a clock that stops.
   */
  @Test
  void goesOnAfterPause() {
    timers.advance(1_000);
    timers.jump(5_000);
    timers.advance(0);
    assertEquals(1_000 + MAX_STEP_MILLIS, time.millis());
    assertTrue(time.isCatchingUp());
    timers.advance(500);
    assertEquals(1_000 + MAX_STEP_MILLIS + 500, time.millis());
    assertFalse(time.isCatchingUp());
  }

  /** Guards against silence that is never noticed by a loop that is often held up. */
  @Test
  void goesOnIfTheLoopIsHeldUpAgainAndAgain() {
    for (int i = 0; i < 10; i++) {
      timers.jump(200);
      timers.advance(0);
    }
    assertEquals(10 * MAX_STEP_MILLIS, time.millis());
  }
}
