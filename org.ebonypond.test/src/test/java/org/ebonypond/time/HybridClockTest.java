package org.ebonypond.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HybridClockTest {
  private long wall = 1_000;

  /** Guards against equal or falling timestamps when the wall clock steps back. */
  @Test
  void timestampsRiseWhenTheWallClockStepsBack() {
    HybridClock c = new HybridClock(() -> wall);
    HybridTimestamp a = c.now();
    wall = 900;
    assertTrue(c.now().compareTo(a) > 0);
  }

  /**
   * Guards against an effect that is ordered before its cause, which came from a process whose
   * clock is ahead.
   */
  @Test
  void observedTimestampsAreExceeded() {
    HybridClock c = new HybridClock(() -> wall);
    HybridTimestamp remote = new HybridTimestamp(5_000, 7);
    assertEquals(new HybridTimestamp(5_000, 8), c.observe(remote));
    assertTrue(c.now().compareTo(remote) > 0);
  }
}
