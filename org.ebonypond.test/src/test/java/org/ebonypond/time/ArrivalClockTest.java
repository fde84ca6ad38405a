package org.ebonypond.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

class ArrivalClockTest {
  private static final long PAUSE_MILLIS = 7_000;

  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wall = new FakeWallClock(timers);
  private final ArrivalClock clock = new ArrivalClock(timers, wall.newDetector());

  private long age() {
    return timers.nowMillis() - clock.earliestArrival();
  }

  /** Guards against orders that a running loop refuses as old. */
  @Test
  void callOfRunningLoopIsYoung() {
    timers.advance(3_000);
    assertTrue(age() <= 250, age() + " ms");
  }

  /** Guards against an order that waited in a socket during a pause and is taken for a new one. */
  @Test
  void callReadAfterPauseMayBeAsOldAsThePause() {
    timers.advance(3_000);
    timers.jump(PAUSE_MILLIS);
    assertTrue(age() >= PAUSE_MILLIS, age() + " ms");
  }

  /** Guards against an order on a connection that is accepted in the first turn after a pause. */
  @Test
  void callReadSoonAfterPauseMayBeAsOldAsThePause() {
    timers.advance(3_000);
    timers.jump(PAUSE_MILLIS);
    timers.advance(300);
    assertTrue(age() >= PAUSE_MILLIS, age() + " ms");
    timers.advance(1_000);
    assertTrue(age() <= 250, age() + " ms");
  }

  /** Guards against pauses in quick succession of which only the last one counts. */
  @Test
  void pausesInSuccessionAddUp() {
    timers.advance(3_000);
    timers.jump(PAUSE_MILLIS);
    timers.advance(100);
    timers.jump(400);
    assertTrue(age() >= PAUSE_MILLIS, age() + " ms");
  }

  /** Guards against a pause of the machine during which the steady clock stands still. */
  @Test
  void ageIsUnknownAfterSuspension() {
    timers.advance(3_000);
    wall.suspend(PAUSE_MILLIS);
    assertEquals(ArrivalClock.UNKNOWN, clock.earliestArrival());
    timers.advance(2_000);
    assertTrue(age() <= 250, age() + " ms");
  }
}
