package org.ebonypond.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.ebonypond.events.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class StragglerDetectorTest {
  private final StragglerDetector detector = new StragglerDetector();
  private final Set<String> keys = new TreeSet<>();
  private long now;

  private void feed(int targets, Set<Integer> slow, double factor, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < targets; i++) {
      keys.add("t" + i);
    }
    for (int round = 0; round < 100; round++) {
      now += 100;
      for (int i = 0; i < targets; i++) {
        double latency = 50 + random.nextDouble() * 40;
        if (!detector.ejected("p").contains("t" + i)) {
          detector.record("p", "t" + i, slow.contains(i) ? factor * latency : latency, now, now);
        }
      }
      if (round % 10 == 0) {
        detector.evaluate("p", keys, now);
      }
    }
  }

  /** Guards against a straggler that is not ejected, and against one that is never restored. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void ejectsStragglerAndRestoresIt(long seed) {
    feed(10, Set.of(3), 5, seed);
    assertEquals(Set.of("t3"), detector.ejected("p"));
    now += StragglerDetector.PROBE_MILLIS;
    assertTrue(detector.tryProbe("p", "t3", now));
    assertFalse(detector.tryProbe("p", "t3", now + 10));
    for (int i = 0; i < 5; i++) {
      detector.record("p", "t3", 70, 0, now);
    }
    detector.record("p", "t3", 70, now, now);
    detector.record("p", "t3", 400, now, now);
    detector.record("p", "t3", 70, now, now);
    detector.record("p", "t3", 70, now, now);
    assertEquals(Set.of("t3"), detector.ejected("p"));
    detector.record("p", "t3", 70, now, now);
    assertEquals(Set.of(), detector.ejected("p"));
    feed(10, Set.of(), 1, seed);
    assertEquals(Set.of(), detector.ejected("p"));
  }

  /** Guards against ejection of healthy targets when the whole pool slows down. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void ejectsNoneWhenAllAreSlow(long seed) {
    feed(10, Set.of(), 1, seed);
    feed(10, Set.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), 8, seed);
    assertEquals(Set.of(), detector.ejected("p"));
  }

  /** Guards against ejections that leave too few targets in service. */
  @Test
  void ejectsBoundedShare() {
    feed(10, Set.of(0, 1, 2, 3), 6, 1);
    assertEquals(2, detector.ejected("p").size());
    keys.remove("t5");
    keys.remove("t6");
    keys.remove("t7");
    detector.evaluate("p", keys, now);
    assertEquals(1, detector.ejected("p").size());
  }

  /** Guards against a router that sends an ejected target more than its probes. */
  @Test
  void routerSendsOnlyProbesToStraggler() {
    RouterState routerState = RouterState.create();
    List<EventCode> events = new ArrayList<>();
    Router router =
        new Router(
            new RouterSettings("e", "z0", 64, 0),
            new PrefixTokensPolicy(),
            routerState,
            SlotLimiter.NONE,
            (code, subject, causes, fields) -> {
              events.add(code);
              return "";
            },
            new SplittableRandom(1));
    router.onView(new Views(8).withGroups(6).view());
    int straggler = 0;
    for (int i = 0; i < 4_000; i++) {
      RouteRequest q = RouteRequest.model("r" + i, Views.MODEL, "w", 10, PromptBlocks.NONE);
      Reservation r = router.choose(q, i * 10L).orElseThrow();
      boolean slow = r.target().name().equals("g2");
      straggler += slow && i >= 1_000 ? 1 : 0;
      r.complete(10, slow ? 900 : 100, i * 10L);
      if (i % 100 == 0) {
        router.tick(i * 10L);
      }
    }
    assertEquals(List.of(EventCode.STRAGGLER_EJECTED), events);
    assertTrue(straggler >= 2 && straggler <= 4, "probes in 30 s: " + straggler);
  }
}
