package org.ebonypond.junit.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

class EngineTest {
  private static final String RANK_0 = "10.0.0.1:1";
  private static final String RANK_1 = "10.0.0.2:1";
  private static final long LOAD_MILLIS = 500;
  private static final long WEIGHT_MILLIS = 2_000;
  private static final long STEP_MILLIS = 10;

  private final ManualTimerService clock = new ManualTimerService();
  private final List<RecordingSink> sinks = new ArrayList<>();
  private int boots;

  private Engine engine(boolean checksFencing, boolean failsOnMissingMember) {
    ColdCeiling ceiling = new ColdCeiling(2, 12, 10_000);
    return new Engine(
        "java-a",
        failsOnMissingMember,
        new Lifecycle(() -> "boot-" + boots++, ceiling, 1_000, clock.nowMillis()),
        new EngineState(checksFencing, LOAD_MILLIS, 200, 100),
        new ContinuousBatch(2, STEP_MILLIS, 0),
        new PrefixCache(10, 0, 0));
  }

  /** Returns an engine that has just loaded its model, in a group whose members are all ready. */
  private Engine loaded(boolean failsOnMissingMember, String... members) {
    Engine e = engine(true, failsOnMissingMember);
    e.order(load(5, members), clock.nowMillis());
    clock.advance(LOAD_MILLIS + WEIGHT_MILLIS);
    for (int i = 1; i < members.length; i++) {
      report(e, members[i], "g", 5);
    }
    e.advance(clock.nowMillis());
    return e;
  }

  private static EngineOrder load(long fencing, String... members) {
    return new EngineOrder(fencing, "load", "m", "1", List.of("lora"), "g", 0, List.of(members));
  }

  private void report(Engine e, String member, String group, long fencing) {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    n.put("group", group).put("fencing", fencing).put("status", "ready");
    e.members().answered(member, e.state().current(), n, clock.nowMillis());
  }

  private Admission submit(Engine e, String id, int length, int offset, int priority) {
    RecordingSink s = new RecordingSink();
    sinks.add(s);
    EngineRequest r = new EngineRequest(id, "m", "p", length, offset, priority, s);
    return e.submit(r, null, clock.nowMillis(), 0);
  }

  private Admission submit(Engine e) {
    return submit(e, "r" + sinks.size(), 100, 0, 5);
  }

  private static Object count(Engine e, String name) {
    return e.counters().get(name);
  }

  /** Guards against executing an order of a replaced leader, or not counting its execution. */
  @Test
  void orderWithOldFencingNumberIsRefusedOrCounted() {
    Engine checks = engine(true, true);
    assertTrue(checks.order(load(7, RANK_0), 0));
    assertFalse(checks.order(load(6, RANK_0), 0));
    assertTrue(checks.order(load(7, RANK_0), 0));
    assertEquals(7, checks.state().current().fencing());
    assertEquals(1L, count(checks, "staleOrdersRefused"));

    Engine ignores = engine(false, true);
    assertTrue(ignores.order(load(7, RANK_0), 0));
    assertTrue(ignores.order(load(6, RANK_0), 0));
    assertEquals(6, ignores.state().current().fencing());
    assertEquals(1L, count(ignores, "staleOrdersApplied"));
  }

  /** Guards against admitting requests before the weights are loaded. */
  @Test
  void servesOnlyWhenLoaded() {
    Engine e = engine(true, true);
    assertEquals(Admission.NOT_LOADED, submit(e));
    e.order(load(5, RANK_0), clock.nowMillis());
    clock.advance(LOAD_MILLIS + WEIGHT_MILLIS - 1);
    assertEquals("loading", e.status(clock.nowMillis()));
    assertEquals(Admission.NOT_LOADED, submit(e));
    clock.advance(1);
    assertEquals("ready", e.status(clock.nowMillis()));
    assertEquals(Admission.ACCEPTED, submit(e));
    // An order with a new fencing number for the same weights does not reload them.
    e.order(load(6, RANK_0), clock.nowMillis());
    assertEquals("ready", e.status(clock.nowMillis()));
    assertEquals(1L, count(e, "executions"));
  }

  /** Guards against an overload that is not counted, and a count without an overload. */
  @Test
  void coldEngineGoesDownAboveCeiling() {
    Engine e = loaded(true, RANK_0);
    final String boot = e.lifecycle().boot();
    assertEquals(Admission.ACCEPTED, submit(e));
    assertEquals(Admission.ACCEPTED, submit(e));
    assertEquals(0L, count(e, "overloads"));
    assertEquals(Admission.FELL_OVER, submit(e));
    assertEquals(1L, count(e, "overloads"));
    assertTrue(sinks.get(0).dropped && sinks.get(1).dropped);
    assertNotEquals(boot, e.lifecycle().boot());
    assertEquals(Admission.DOWN, submit(e));
    assertEquals(1L, count(e, "overloads"));
    clock.advance(1_000);
    assertEquals(Admission.NOT_LOADED, submit(e));
  }

  /** Guards against a ceiling that rises too fast or too slowly, or remains after the warm-up. */
  @Test
  void ceilingRisesOverWarmTime() {
    Engine e = loaded(true, RANK_0);
    clock.advance(999);
    assertEquals(2, e.lifecycle().ceiling(clock.nowMillis()));
    clock.advance(1);
    assertEquals(3, e.lifecycle().ceiling(clock.nowMillis()));
    clock.advance(9_000);
    for (int i = 0; i < 50; i++) {
      assertEquals(Admission.ACCEPTED, submit(e));
    }
    assertEquals(0L, count(e, "overloads"));
  }

  /** Guards against counting completed or cancelled requests against the ceiling. */
  @Test
  void completedAndCancelledRequestsDoNotCountAgainstCeiling() {
    Engine e = loaded(true, RANK_0);
    submit(e, "short", 1, 0, 5);
    submit(e, "long", 100, 0, 5);
    clock.advance(STEP_MILLIS);
    assertEquals(Admission.ACCEPTED, submit(e, "next", 100, 0, 5));
    assertEquals(1, e.cancel("next"));
    assertEquals(Admission.ACCEPTED, submit(e, "last", 100, 0, 5));
    assertEquals(0L, count(e, "overloads"));
  }

  /** Guards against requests that hang, and a skipped warm-up, after a change of weights. */
  @Test
  void newWeightsDropRequestsAndStartCold() {
    Engine e = loaded(true, RANK_0);
    clock.advance(10_000);
    submit(e);
    EngineOrder other =
        new EngineOrder(6, "load", "m", "2", List.of("lora"), "g", 0, List.of(RANK_0));
    e.order(other, clock.nowMillis());
    assertTrue(sinks.get(0).dropped);
    clock.advance(LOAD_MILLIS + WEIGHT_MILLIS);
    e.advance(clock.nowMillis());
    assertEquals(2, e.lifecycle().ceiling(clock.nowMillis()));
  }

  /** Guards against running a request that was sent before the entry noticed a restart. */
  @Test
  void otherBootIsNotRun() {
    Engine e = loaded(true, RANK_0);
    final String boot = e.lifecycle().boot();
    e.restart(clock.nowMillis());
    EngineRequest r = new EngineRequest("r", "m", "p", 1, 0, 5, new RecordingSink());
    assertEquals(Admission.WRONG_BOOT, e.submit(r, boot, clock.nowMillis(), 0));
    assertEquals("idle", e.status(clock.nowMillis()));
    assertEquals(0L, count(e, "executions"));
  }

  /** Guards against a rank 0 that serves while a member is absent or in another group. */
  @Test
  void missingMemberFailsRequests() {
    Engine e = loaded(true, RANK_0, RANK_1);
    assertEquals(Admission.ACCEPTED, submit(e));
    report(e, RANK_1, "g", 4);
    clock.advance(300);
    e.advance(clock.nowMillis());
    assertTrue(sinks.get(0).dropped);
    assertEquals(Admission.MEMBER_MISSING, submit(e));
    assertEquals(300L, count(e, "longestMissingAtStartMillis"));
    report(e, RANK_1, "other", 5);
    assertEquals(Admission.MEMBER_MISSING, submit(e));
    report(e, RANK_1, "g", 5);
    assertEquals(Admission.ACCEPTED, submit(e));
    assertEquals(3L, count(e, "failedForMissingMember"));
    assertEquals(0L, count(e, "servedWhileMemberMissing"));
  }

  /** Guards against answers given while a member was missing that are not counted. */
  @Test
  void answersWhileMemberMissingAreCounted() {
    Engine e = loaded(false, RANK_0, RANK_1);
    e.members().answered(RANK_1, e.state().current(), null, clock.nowMillis());
    assertEquals(Admission.ACCEPTED, submit(e, "r", 1, 0, 5));
    e.advance(clock.nowMillis());
    clock.advance(STEP_MILLIS);
    e.advance(clock.nowMillis());
    assertTrue(sinks.get(0).ended);
    assertEquals(1L, count(e, "servedWhileMemberMissing"));
  }

  /** Guards against considering a busy member missing after a single timeout. */
  @Test
  void memberIsMissingAfterSecondTimeout() {
    Engine e = loaded(true, RANK_0, RANK_1);
    e.members().timedOut(RANK_1, e.state().current(), clock.nowMillis());
    assertFalse(e.members().missing());
    e.members().timedOut(RANK_1, e.state().current(), clock.nowMillis());
    assertTrue(e.members().missing());
  }

  /** Guards against a ready rank 0 whose members have not loaded yet. */
  @Test
  void rankZeroWaitsForMembers() {
    Engine e = engine(true, true);
    e.order(load(5, RANK_0, RANK_1), clock.nowMillis());
    clock.advance(LOAD_MILLIS + WEIGHT_MILLIS);
    assertEquals("loading", e.status(clock.nowMillis()));
    assertEquals(Admission.NOT_LOADED, submit(e));
    report(e, RANK_1, "g", 5);
    assertEquals("ready", e.status(clock.nowMillis()));
  }

  /** Guards against a batch above its size limit, or one that ignores priorities. */
  @Test
  void urgentRequestsJoinTheBatchFirst() {
    Engine e = loaded(true, RANK_0);
    clock.advance(10_000);
    submit(e, "a", 2, 0, 5);
    submit(e, "b", 50, 0, 5);
    e.advance(clock.nowMillis());
    submit(e, "low", 2, 0, 1);
    submit(e, "high", 2, 1, 9);
    assertEquals(2, e.load(clock.nowMillis(), 0).active());
    assertEquals(2, e.load(clock.nowMillis(), 0).waiting());
    assertEquals(55, e.load(clock.nowMillis(), 0).tokens());
    clock.advance(2 * STEP_MILLIS);
    e.advance(clock.nowMillis());
    clock.advance(STEP_MILLIS);
    e.advance(clock.nowMillis());
    assertEquals(List.of(0, 1), sinks.get(0).offsets);
    assertEquals(List.of(1), sinks.get(3).offsets);
    assertTrue(sinks.get(3).ended && !sinks.get(2).ended);
    assertEquals(EngineContent.text("p", 1, 2), sinks.get(3).text.toString());
  }
}
