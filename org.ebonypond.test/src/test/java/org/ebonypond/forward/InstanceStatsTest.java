package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class InstanceStatsTest {
  private long now = 1_000;
  private final InstanceStats stats = new InstanceStats(() -> now);

  private void start(int requests) {
    for (int i = 0; i < requests; i++) {
      stats.started(0, false);
    }
  }

  @Test
  void silenceOfIdleInstanceBeginsWithTheNextRequest() {
    start(1);
    stats.ended(0, false);
    now += 5_000;
    assertEquals(0, stats.idleMillis());
    start(1);
    now += 70;
    assertEquals(70, stats.idleMillis());
  }

  /** Guards against an instance that counts as silent because its answers are not read. */
  @Test
  void silenceIsNotMeasuredWhileNoAnswerIsRead() {
    start(2);
    stats.paused();
    stats.paused();
    now += 5_000;
    assertTrue(stats.isUnread());
    assertEquals(0, stats.idleMillis());
    stats.resumed();
    now += 70;
    assertFalse(stats.isUnread());
    assertEquals(70, stats.idleMillis());
  }

  /** Guards against silence that a slow caller of another answer hides. */
  @Test
  void silenceGoesOnWhileAnotherAnswerIsRead() {
    start(2);
    stats.paused();
    now += 400;
    assertEquals(400, stats.idleMillis());
    stats.resumed();
    assertEquals(400, stats.idleMillis());
  }

  /** Guards against an instance that counts as silent since before its only answer was paused. */
  @Test
  void silenceBeginsWithRequestBesidePausedOne() {
    start(1);
    stats.paused();
    now += 5_000;
    start(1);
    now += 70;
    assertEquals(70, stats.idleMillis());
  }

  /**
   * Guards against a sound group that is given up as stalled after a silence of a second, because
   * no request is sent that could show that it goes on.
   */
  @Test
  void stalledInstanceIsTriedAgainBeforeItsGroupIsGivenUp() {
    start(1);
    stats.stalled(now);
    stats.ended(0, false);
    now += 999;
    assertTrue(stats.isSuspect(now));
    now += 1;
    assertFalse(stats.isSuspect(now));
    start(1);
    now += 200;
    stats.progressed();
    assertEquals(0, stats.failingMillis());
    assertFalse(stats.isSuspect(now));
  }

  /** Guards against many requests at once that are sent to a broken group to try it. */
  @Test
  void stalledInstanceIsTriedBySingleRequests() {
    start(1);
    stats.stalled(now);
    stats.ended(0, false);
    now += 1_000;
    start(1);
    assertTrue(stats.isSuspect(now));
    now += 300;
    stats.stalled(now);
    stats.ended(0, false);
    assertTrue(stats.isSuspect(now));
    assertEquals(1_300, stats.failingMillis());
  }

  /** Guards against an instance that is avoided although it goes on. */
  @Test
  void instanceThatGoesOnIsNotSuspectAnyMore() {
    start(2);
    stats.stalled(now);
    assertTrue(stats.isSuspect(now));
    stats.progressed();
    assertFalse(stats.isSuspect(now));
  }
}
