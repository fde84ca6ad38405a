package org.ebonypond.junit.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.http.PlainService.BeginResult;
import org.ebonypond.junit.http.PlainService.ServiceCall;
import org.junit.jupiter.api.Test;

class PlainServiceTest {
  private final ManualTimerService clock = new ManualTimerService();
  private int boots;
  private final PlainService service =
      new PlainService(
          "java-a",
          4,
          20,
          0,
          new Lifecycle(() -> "boot-" + boots++, new ColdCeiling(2, 4, 1_000), 500, 0),
          1);

  private BeginResult begin(boolean idempotent, String key, String requestId) {
    ServiceCall call = new ServiceCall(idempotent, "w", key, requestId, null);
    return service.begin(call, clock.nowMillis(), clock.nowMillis());
  }

  private void run(boolean idempotent, String key, String requestId) {
    service.end(begin(idempotent, key, requestId));
  }

  private Object count(String name) {
    return service.counters().get(name);
  }

  /** Guards against a second execution of a key or request that is not counted. */
  @Test
  void duplicateExecutionIsCounted() {
    run(false, "k1", "r1");
    run(false, "k2", "r2");
    assertEquals(0L, count("doubledExecutions"));
    run(false, "k1", "r3");
    assertEquals(1L, count("doubledExecutions"));
    run(false, "", "r2");
    assertEquals(2L, count("doubledExecutions"));
    run(false, "", "");
    run(false, "", "");
    assertEquals(2L, count("doubledExecutions"));
    assertEquals(Map.of("w/k1", 2, "w/k2", 1), service.executionCounts().byKey());
  }

  /** Guards against counting retried lookups, which may run more than once, as duplicates. */
  @Test
  void repeatedLookupsAreNotDuplicates() {
    run(true, "k", "r");
    run(true, "k", "r");
    assertEquals(0L, count("doubledExecutions"));
    assertEquals(2L, count("lookups"));
  }

  /** Guards against duplicates across a restart that are not counted. */
  @Test
  void executionCountsSurviveRestart() {
    run(false, "k", "r");
    service.restart(clock.nowMillis());
    run(false, "k", "r");
    assertEquals(1L, count("doubledExecutions"));
  }

  /** Guards against a call with a lost answer that is not counted as an execution. */
  @Test
  void callWithLostAnswerIsAnExecution() {
    service.setAnswerLossRatio(1);
    assertTrue(begin(false, "k", "r").answerLost());
    service.setAnswerLossRatio(0);
    assertFalse(begin(false, "k", "r").answerLost());
    assertEquals(1L, count("doubledExecutions"));
    assertEquals(1L, count("answersLost"));
  }

  /** Guards against an overload that is not counted, or one caused by ended or dropped calls. */
  @Test
  void coldServiceGoesDownAboveCeiling() {
    BeginResult first = begin(true, "", "");
    begin(true, "", "");
    service.end(first);
    assertEquals(Admission.ACCEPTED, begin(true, "", "").admission());
    assertEquals(Admission.FELL_OVER, begin(false, "k", "r").admission());
    assertEquals(1L, count("overloads"));
    assertEquals(Map.of(), service.executionCounts().byKey());
    assertEquals(0, service.active());
    service.end(first);
    assertEquals(0, service.active());
    assertEquals(Admission.DOWN, begin(true, "", "").admission());
    clock.advance(500);
    assertEquals(2, service.lifecycle().ceiling(clock.nowMillis()));
    assertEquals(Admission.ACCEPTED, begin(true, "", "").admission());
  }

  /** Guards against running a call that expects another boot identity. */
  @Test
  void otherBootIsNotRun() {
    ServiceCall call = new ServiceCall(false, "w", "k", "r", "boot-9");
    assertEquals(Admission.WRONG_BOOT, service.begin(call, 0, 0).admission());
    assertEquals(Map.of(), service.executionCounts().byKey());
  }

  /** Guards against calls begun on a leaving server that are not counted. */
  @Test
  void callsWhileLeavingAreCounted() {
    service.lifecycle().leave(clock.nowMillis());
    clock.advance(5_000);
    run(true, "", "");
    assertEquals(1L, count("startedWhileLeaving"));
    assertEquals(0L, count("startedAfterLeaving5s"));
    clock.advance(1);
    run(true, "", "");
    assertEquals(1L, count("startedAfterLeaving5s"));
    assertEquals(Map.of("java-a", 2L), count("requestsByZone"));
  }
}
