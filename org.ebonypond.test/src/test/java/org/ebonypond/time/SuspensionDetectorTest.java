package org.ebonypond.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
  private final ManualTimerService timers = new ManualTimerService();
  private final List<Long> suspensions = new ArrayList<>();
  private long lead = 1_700_000_000_000L;
  private long preemptedMillis;
  private final SuspensionDetector detector =
      new SuspensionDetector(timers, this::wallMillis, suspensions::add);

  /** Returns the time of day; the reading thread may lose the processor before it. */
  private long wallMillis() {
    timers.advance(preemptedMillis);
    preemptedMillis = 0;
    return timers.nowMillis() + lead;
  }

  /** Guards against leases that outlive a suspension, and against one that is reported again. */
  @Test
  void suspensionIsReportedOnce() {
    timers.advance(1_000);
    assertEquals(Long.MIN_VALUE, detector.resumedAt());
    lead += 5_000;
    assertEquals(1_000, detector.resumedAt());
    timers.advance(500);
    assertEquals(1_000, detector.resumedAt());
    assertEquals(List.of(5_000L), suspensions);
  }

  /** Guards against confirmations that are lost on a busy processor. */
  @Test
  void threadThatWaitsForTheProcessorIsNotSuspended() {
    preemptedMillis = 300;
    assertEquals(Long.MIN_VALUE, detector.resumedAt());
    assertEquals(List.of(), suspensions);
  }

  /** Guards against a suspension that goes unnoticed after a step of the time of day back. */
  @Test
  void suspensionAfterStepBackwardIsDetected() {
    lead -= 5_000;
    assertEquals(Long.MIN_VALUE, detector.resumedAt());
    timers.advance(100);
    lead += 1_000;
    assertEquals(100, detector.resumedAt());
    assertEquals(List.of(1_000L), suspensions);
  }

  /** Guards against confirmations that are lost while the time of day is corrected slowly. */
  @Test
  void slowCorrectionOfTheTimeOfDayIsNoSuspension() {
    for (int i = 0; i < 10_000; i++) {
      timers.advance(SuspensionDetector.LOOK_MILLIS);
      lead++;
      assertEquals(Long.MIN_VALUE, detector.resumedAt());
    }
  }

  /** Guards against a lease whose reserve a suspension uses up without being detected. */
  @Test
  void shortestSuspensionIsDetected() {
    lead += SuspensionDetector.MIN_SUSPENSION_MILLIS - 1;
    assertEquals(Long.MIN_VALUE, detector.resumedAt());
    lead += SuspensionDetector.MIN_SUSPENSION_MILLIS;
    assertEquals(0, detector.resumedAt());
  }

  /** Guards against a suspension that is hidden by a thread that waited during the look before. */
  @Test
  void suspensionAfterShortWaitForTheProcessorIsDetected() {
    preemptedMillis = SuspensionDetector.MIN_SUSPENSION_MILLIS - 1;
    assertEquals(Long.MIN_VALUE, detector.resumedAt());
    long thawedAt = timers.nowMillis();
    lead += SuspensionDetector.MIN_SUSPENSION_MILLIS;
    assertEquals(thawedAt, detector.resumedAt());
  }

  /** Guards against short suspensions that together use up the reserve of a lease. */
  @Test
  void shortSuspensionsAddUp() {
    for (int i = 0; i < 4; i++) {
      timers.advance(100);
      lead += 15;
      detector.resumedAt();
    }
    assertEquals(300, detector.resumedAt());
  }
}
