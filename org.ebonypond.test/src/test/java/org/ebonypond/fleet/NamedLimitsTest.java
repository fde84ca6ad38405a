package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class NamedLimitsTest {
  private static final double NONE = Double.POSITIVE_INFINITY;

  private final NamedLimits limits = new NamedLimits();

  /** Guards against a limit that is kept after the instance has stopped naming it. */
  @Test
  void answerWithoutLimitEndsIt() {
    assertFalse(limits.observe("i", 1, NONE, 0));
    assertTrue(limits.observe("i", 1, 3.5, 10));
    assertEquals(3.5, limits.perSecond("i", 1));
    assertTrue(limits.observe("i", 1, 2, 20));
    assertEquals(2, limits.perSecond("i", 1));
    assertTrue(limits.observe("i", 1, NONE, 30));
    assertEquals(NONE, limits.perSecond("i", 1));
    assertEquals(0, limits.size());
  }

  /** Guards against an old report that replaces what a later answer has said. */
  @Test
  void latestObservationCounts() {
    limits.observe("i", 1, 3.5, 1_000);
    assertTrue(limits.merge(List.of(new NamedLimit("i", 1, 1, 500)), false, 1_200).isEmpty());
    assertEquals(3.5, limits.perSecond("i", 1));
    assertEquals(1, limits.merge(List.of(new NamedLimit("i", 1, NONE, 5)), false, 1_200).size());
    assertEquals(NONE, limits.perSecond("i", 1));
    // The older observation must not come back with the report of a process that is behind.
    limits.merge(List.of(new NamedLimit("i", 1, 3.5, 400)), false, 1_400);
    assertEquals(NONE, limits.perSecond("i", 1));
  }

  /** Guards against a limit of an earlier life of an instance that started again. */
  @Test
  void restartEndsTheLimit() {
    limits.observe("i", 1, 3.5, 0);
    assertEquals(NONE, limits.perSecond("i", 2));
    limits.observe("i", 2, 9, 10);
    limits.merge(List.of(new NamedLimit("i", 1, 3.5, 0)), false, 20);
    assertEquals(9, limits.perSecond("i", 2));
  }

  /** Guards against observations that circulate and never expire, and against lost ones. */
  @Test
  void onlyOwnObservationsAreReportedAndAllExpire() {
    limits.merge(List.of(new NamedLimit("a", 1, 3, 0)), false, 0);
    limits.observe("b", 1, 4, 0);
    limits.merge(List.of(new NamedLimit("c", 1, 5, 0)), true, 0);
    assertEquals(List.of("b", "c"), limits.own(0).stream().map(NamedLimit::instance).toList());
    assertEquals(3, limits.all(0).size());
    assertEquals(3, limits.all(NamedLimits.EXPIRY_MILLIS).size());
    assertEquals(0, limits.all(NamedLimits.EXPIRY_MILLIS + 1).size());
    assertEquals(NONE, limits.perSecond("b", 1));
  }

  /** Guards against reports and memory that grow without bound, and against impossible rates. */
  @Test
  void sizesAreBounded() {
    for (int i = 0; i < 10_000; i++) {
      limits.observe("i-" + i, 1, 3, i);
    }
    assertEquals(NamedLimits.MAX_REPORTED, limits.own(10_000).size());
    assertEquals(NamedLimits.MAX_INSTANCES, limits.size());
    NamedLimits other = new NamedLimits();
    other.merge(List.of(new NamedLimit("i", 1, Double.NaN, 0)), false, 0);
    other.merge(List.of(new NamedLimit("i", 1, -1, 0)), false, 0);
    assertEquals(0, other.size());
  }
}
