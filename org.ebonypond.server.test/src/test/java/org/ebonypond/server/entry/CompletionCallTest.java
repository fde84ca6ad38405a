package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.control.GroupState;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.entry.EntryFixture.Caller;
import org.ebonypond.server.entry.FakeEngines.FakeAttempt;
import org.ebonypond.server.http.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionCallTest {
  private static final long DEADLINE_MILLIS = 20_000;

  private final EntryFixture entry = new EntryFixture(2, 1, 1);

  private static Problem problem(Caller c) {
    Problem p = c.problem;
    assertNotNull(p);
    return p;
  }

  @ParameterizedTest
  @EnumSource(
      value = FailureKind.class,
      names = {"NOT_SENT", "NOT_RUN", "OTHER_BOOT", "BROKEN"})
  void resumesOnTheOtherGroupWithoutGap(FailureKind kind) {
    final Caller c = entry.call(DEADLINE_MILLIS);
    FakeAttempt first = entry.engines.last();
    first.chunk(0, false);
    first.chunk(2, false);
    first.fail(kind);
    FakeAttempt second = entry.engines.last();
    assertNotEquals(first.request.address(), second.request.address());
    assertEquals(1, second.request.resumeOffset());
    first.chunk(1, false);
    second.chunk(2, true);
    second.chunk(1, false);
    assertTrue(c.done);
    assertEquals(3, c.chunks.size());
    entry.assertIdle();
  }

  /** Guards against a failure at the last chunk of a caller that reads too slowly. */
  @Test
  void callerMayBeGivenUpAtTheLastChunk() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    c.onChunk = c::disconnect;
    entry.engines.last().chunk(0, true);
    assertFalse(c.ended());
    assertTrue(entry.engines.last().stopped);
    entry.assertIdle();
  }

  /** Guards against one request that ends every group of its model, one after the other. */
  @Test
  void requestThatMayHaveCrashedTwoGroupsIsNotSentToAnother() {
    EntryFixture groups = new EntryFixture(4, 1, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    groups.engines.last().fail(FailureKind.BROKEN);
    assertFalse(c.ended());
    groups.engines.last().fail(FailureKind.BROKEN);
    assertTrue(c.ended());
    assertEquals(2, groups.engines.attempts.size());
    assertEquals(ErrorCode.UPSTREAM_FAILED, problem(c).code());
    assertEquals(Outcome.FAILED, problem(c).outcome());
    groups.assertIdle();
  }

  /** Guards against a lost answer although the request has shown that it is not the cause. */
  @Test
  void requestWithOutputIsSentOnAfterTwoCrashes() {
    EntryFixture groups = new EntryFixture(4, 1, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    for (int i = 0; i < 2; i++) {
      groups.engines.last().chunk(i, false);
      groups.engines.last().fail(FailureKind.BROKEN);
    }
    groups.engines.last().chunk(2, true);
    assertTrue(c.done);
    assertEquals(3, groups.engines.attempts.size());
  }

  /** Guards against an error's text among the chunks of an answer that another engine began. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "oops",
        "\"oops\"",
        "[]",
        "null",
        "{\"error\": {\"message\": \"oops\"}}",
        "{\"detail\": \"oops\"}",
        "{\"choices\": [], \"error\": \"oops\"}"
      })
  void errorInPlaceOfChunkIsNotDelivered(String data) {
    EntryFixture groups = new EntryFixture(3, 1, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    groups.engines.last().chunk(0, false);
    groups.engines.last().fail(FailureKind.BROKEN);
    FakeAttempt second = groups.engines.last();
    second.listener.onChunk(1, data);
    assertTrue(second.stopped);
    assertEquals(3, groups.engines.attempts.size());
    assertEquals(1, groups.engines.last().request.resumeOffset());
    groups.engines.last().chunk(1, true);
    assertTrue(c.done);
    assertEquals(2, c.chunks.size());
    groups.assertIdle();
  }

  /** Guards against an answer that ends as complete although no engine could continue it. */
  @ParameterizedTest
  @EnumSource(
      value = FailureKind.class,
      names = {"NOT_RUN", "OTHER_BOOT", "BROKEN", "REJECTED"})
  void answerThatNoEngineContinuesEndsAsFailed(FailureKind kind) {
    final Caller c = entry.call(DEADLINE_MILLIS);
    entry.engines.last().chunk(0, false);
    entry.engines.last().fail(FailureKind.BROKEN);
    while (!c.ended()) {
      entry.engines.last().fail(kind);
      entry.timers.advance(100);
    }
    assertFalse(c.done);
    assertEquals(Outcome.FAILED, problem(c).outcome());
    assertEquals(1, c.chunks.size());
    entry.assertIdle();
  }

  /** Guards against events of a failed attempt that another thread delivers after its end. */
  @Test
  void ignoresEventsOfFailedAttemptsWhileWaitingForTheNext() {
    final Caller other = entry.call(DEADLINE_MILLIS);
    final FakeAttempt busy = entry.engines.last();
    final Caller c = entry.call(DEADLINE_MILLIS);
    FakeAttempt broken = entry.engines.last();
    broken.chunk(0, false);
    broken.fail(FailureKind.BROKEN);
    assertEquals(2, entry.engines.attempts.size());

    broken.listener.onDone();
    broken.fail(FailureKind.BROKEN);
    broken.chunk(1, true);
    assertFalse(c.ended());
    busy.chunk(0, true);
    entry.timers.advance(100);

    assertTrue(other.done);
    assertEquals(3, entry.engines.attempts.size());
    assertEquals(1, entry.engines.last().request.resumeOffset());
    entry.engines.last().chunk(1, true);
    assertTrue(c.done);
    entry.assertIdle();
  }

  /** Guards against a router exception that leaves the caller without an answer. */
  @Test
  void answersWhenTheModelIsRemovedWhileStreaming() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    final FakeAttempt a = entry.engines.last();
    a.chunk(0, false);
    entry.removePools();
    a.fail(FailureKind.BROKEN);
    entry.timers.advance(2_000);
    assertEquals(Outcome.FAILED, problem(c).outcome());
    entry.assertIdle();
  }

  @Test
  void refusesWaitingCallsOnceTheModelIsRemoved() {
    entry.call(DEADLINE_MILLIS);
    entry.call(DEADLINE_MILLIS);
    final Caller waiting = entry.call(DEADLINE_MILLIS);
    entry.removePools();
    entry.timers.advance(2_000);
    assertEquals(Outcome.NOT_RUN, problem(waiting).outcome());
    entry.engines.attempts.forEach(a -> a.chunk(0, true));
    entry.assertIdle();
  }

  /** Guards against a failing receiver that prevents the delivery of the other decisions. */
  @Test
  void deliversTheOtherDecisionsWhenOneReceiverFails() {
    entry.call(DEADLINE_MILLIS);
    entry.call(DEADLINE_MILLIS);
    final Caller fails = entry.call(DEADLINE_MILLIS);
    final Caller waiting = entry.call(DEADLINE_MILLIS);
    fails.failure = new IllegalStateException("test");
    entry.removePools();
    assertThrows(IllegalStateException.class, () -> entry.timers.advance(2_000));
    entry.timers.advance(100);
    assertEquals(Outcome.NOT_RUN, problem(waiting).outcome());
    entry.engines.attempts.forEach(a -> a.chunk(0, true));
    entry.assertIdle();
  }

  /** Guards against a retry that waits for a lost group and blocks all requests of the model. */
  @Test
  void servesOthersWhileOneRetryHasNoGroup() {
    final Caller retried = entry.call(DEADLINE_MILLIS);
    final FakeAttempt first = entry.engines.last();
    Caller lost = entry.call(DEADLINE_MILLIS);
    FakeAttempt second = entry.engines.last();
    entry.call(DEADLINE_MILLIS);
    second.fail(FailureKind.NOT_SENT);
    lost.disconnect();
    first.fail(FailureKind.NOT_RUN);
    entry.timers.advance(100);
    // One group is left; it takes the waiting call and the retry one after the other.
    assertEquals(3, entry.engines.attempts.size());
    entry.engines.last().chunk(0, true);
    entry.timers.advance(100);
    entry.engines.last().chunk(0, true);
    assertTrue(retried.done);
    entry.assertIdle();
  }

  /** Guards against invalid requests of one workspace that eject groups as stragglers. */
  @Test
  void rejectedRequestsDoNotEjectTheGroup() {
    final String key = entry.router.table().model(EntryFixture.MODEL).get(0).poolKey();
    for (int i = 0; i < 100; i++) {
      Caller c = entry.call(DEADLINE_MILLIS);
      entry.engines.last().fail(FailureKind.REJECTED);
      assertEquals(Outcome.FAILED, problem(c).outcome());
      entry.timers.advance(20);
    }
    assertEquals(0, entry.lost, "slots that count as lost");
    assertTrue(entry.routing.stragglers().ejected(key).isEmpty());
    entry.assertIdle();
  }

  /** Guards against a stream that waits for a stalled engine, and against two engines' texts. */
  @Test
  void abandonsStalledEngineOnceAnotherOneGoesOn() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    FakeAttempt first = entry.engines.last();
    first.chunk(0, false);
    entry.timers.advance(5_000);
    FakeAttempt second = entry.engines.last();
    assertNotEquals(first.request.address(), second.request.address());
    assertEquals(1, second.request.resumeOffset());
    assertFalse(first.stopped);
    second.chunk(1, false);
    assertTrue(first.stopped);
    first.chunk(1, true);
    first.fail(FailureKind.BROKEN);
    second.chunk(2, true);
    assertTrue(c.done);
    assertEquals(3, c.chunks.size());
    assertEquals(2, entry.engines.attempts.size());
    entry.assertIdle();
  }

  /** Guards against a second engine that works on for nobody, and against two engines' texts. */
  @Test
  void stopsTheSecondEngineOnceTheStalledOneGoesOn() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    FakeAttempt first = entry.engines.last();
    first.chunk(0, false);
    entry.timers.advance(5_000);
    FakeAttempt second = entry.engines.last();
    second.chunk(2, false);
    first.chunk(1, false);
    assertTrue(second.stopped);
    second.chunk(1, true);
    second.fail(FailureKind.BROKEN);
    assertFalse(c.ended());
    first.chunk(2, true);
    assertTrue(c.done);
    assertFalse(first.stopped);
    assertEquals(2, entry.engines.attempts.size());
    assertEquals(0, entry.lost, "slots that count as lost");
    entry.assertIdle();
  }

  /** Guards against a stream that ends with its second attempt although the first one goes on. */
  @ParameterizedTest
  @EnumSource(FailureKind.class)
  void keepsStalledEngineWhenTheSecondOneFails(FailureKind kind) {
    final Caller c = entry.call(DEADLINE_MILLIS);
    FakeAttempt first = entry.engines.last();
    first.chunk(0, false);
    entry.timers.advance(5_000);
    FakeAttempt second = entry.engines.last();
    assertNotEquals(first, second);
    second.fail(kind);
    assertFalse(first.stopped);
    assertFalse(c.ended());
    first.chunk(1, true);
    assertTrue(c.done);
    entry.assertIdle();
  }

  /** Guards against a second attempt at the engine that is silent. */
  @Test
  void keepsSilentEngineOfTheOnlyGroup() {
    EntryFixture groups = new EntryFixture(1, 2, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    groups.engines.last().chunk(0, false);
    groups.timers.advance(11_000);
    assertEquals(1, groups.engines.attempts.size());
    assertFalse(c.ended());
    groups.engines.last().chunk(1, true);
    assertTrue(c.done);
    groups.assertIdle();
  }

  /** Guards against a second attempt at the silent engine once the other group is lost. */
  @Test
  void waitingSecondAttemptIsNotSentToTheSilentEngine() {
    EntryFixture groups = new EntryFixture(2, 2, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    final FakeAttempt silent = groups.engines.last();
    silent.chunk(0, false);
    for (int i = 0; i < 3; i++) {
      groups.call(DEADLINE_MILLIS);
    }
    final String address = silent.request.address();
    for (int i = 0; i < 5; i++) {
      groups.engines.attempts.stream().skip(1).forEach(a -> a.chunk(a.next, false));
      groups.timers.advance(1_000);
    }
    assertEquals(1, groups.gate.waitingCount());
    groups.engines.attempts.stream()
        .skip(1)
        .filter(a -> a.request.address().equals(address))
        .forEach(a -> a.chunk(a.next, true));
    groups.group(address.startsWith("g0a") ? "g1" : "g0", "boot1", GroupState.DOWN);
    groups.publish();
    groups.timers.advance(100);
    String engine = address.substring(0, address.indexOf(':'));
    groups.routing.suspicion().confirmUp(engine, "boot1", groups.timers.nowMillis());
    groups.timers.advance(100);
    assertEquals(0, groups.gate.waitingCount());
    assertEquals(4, groups.engines.attempts.size());
    assertFalse(c.ended());
    silent.chunk(1, true);
    assertTrue(c.done);
    groups.engines.attempts.stream().filter(a -> !a.ended).forEach(a -> a.chunk(a.next, true));
    groups.assertIdle();
  }

  /** Guards against a stream that ends because no retry is left for its second attempt. */
  @Test
  void keepsSilentEngineWhileTheRetryBudgetIsExhausted() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    entry.engines.last().chunk(0, false);
    entry.timers.advance(4_900);
    exhaustBudget();
    entry.timers.advance(200);
    assertEquals(1, entry.engines.attempts.size());
    assertFalse(c.ended());
    entry.engines.last().chunk(1, true);
    assertTrue(c.done);
    entry.assertIdle();
  }

  /** Guards against a second attempt that leaves the queue after the first one has broken. */
  @Test
  void waitingSecondAttemptReplacesBrokenFirst() {
    final Caller other = entry.call(DEADLINE_MILLIS);
    final FakeAttempt busy = entry.engines.last();
    final Caller c = entry.call(DEADLINE_MILLIS);
    final FakeAttempt silent = entry.engines.last();
    silent.chunk(0, false);
    busy.chunk(0, false);
    entry.timers.advance(2_500);
    busy.chunk(1, false);
    entry.timers.advance(2_500);
    assertEquals(1, entry.gate.waitingCount());
    silent.fail(FailureKind.BROKEN);
    assertEquals(1, entry.gate.waitingCount());
    assertFalse(c.ended());
    busy.chunk(2, true);
    assertTrue(other.done);
    entry.timers.advance(100);
    assertEquals(3, entry.engines.attempts.size());
    assertEquals(busy.request.address(), entry.engines.last().request.address());
    entry.engines.last().chunk(1, true);
    assertTrue(c.done);
    entry.assertIdle();
  }

  /** Guards against more attempts than allowed, and against an end before the deadline. */
  @Test
  void asksFourGroupsAtMostWhileAllAreSilent() {
    EntryFixture groups = new EntryFixture(6, 1, 1);
    final Caller c = groups.call(40_000);
    groups.engines.last().chunk(0, false);
    for (int i = 0; i < 30; i++) {
      groups.timers.advance(1_000);
    }
    assertEquals(4, groups.engines.attempts.size());
    assertEquals(
        4, groups.engines.attempts.stream().map(a -> a.request.address()).distinct().count());
    assertTrue(groups.engines.attempts.stream().noneMatch(a -> a.stopped));
    groups.timers.advance(9_999);
    assertFalse(c.ended());
    groups.timers.advance(1);
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, problem(c).code());
    assertTrue(groups.engines.attempts.stream().allMatch(a -> a.stopped));
    groups.assertIdle();
  }

  /** Guards against one request that stops every group of its model, one after the other. */
  @Test
  void requestWithoutOutputStallsTwoGroupsAtMost() {
    EntryFixture groups = new EntryFixture(4, 1, 1);
    final Caller c = groups.call(DEADLINE_MILLIS);
    groups.timers.advance(19_000);
    assertEquals(2, groups.engines.attempts.size());
    groups.engines.attempts.get(0).chunk(0, true);
    assertTrue(c.done);
    groups.assertIdle();
  }

  private void exhaustBudget() {
    boolean left = true;
    while (left) {
      left = entry.parts.budget().tryRetry("w", entry.timers.nowMillis());
    }
  }

  /** Guards against a stream that is lost because no other group has room for it. */
  @Test
  void keepsSilentEngineWhileTheOtherGroupIsBusy() {
    entry.call(DEADLINE_MILLIS);
    final FakeAttempt busy = entry.engines.last();
    final Caller c = entry.call(DEADLINE_MILLIS);
    final FakeAttempt silent = entry.engines.last();
    silent.chunk(0, false);
    for (int i = 0; i < 6; i++) {
      busy.chunk(i, false);
      entry.timers.advance(1_000);
    }
    silent.chunk(1, true);
    assertTrue(c.done);
  }

  @Test
  void endsAtTheDeadlineWhileStreamingAndWhileWaiting() {
    final Caller a = entry.call(1_000);
    final Caller b = entry.call(1_000);
    final Caller waiting = entry.call(1_000);
    entry.timers.advance(1_000);
    assertEquals(Outcome.FAILED, problem(a).outcome());
    assertEquals(Outcome.FAILED, problem(b).outcome());
    assertEquals(Outcome.NOT_RUN, problem(waiting).outcome());
    assertTrue(entry.engines.attempts.stream().allMatch(x -> x.stopped));
    entry.assertIdle();
  }

  @Test
  void stopsWhenTheCallerDisconnectsWhileStreamingAndWhileWaiting() {
    final Caller a = entry.call(DEADLINE_MILLIS);
    final Caller b = entry.call(DEADLINE_MILLIS);
    Caller waiting = entry.call(DEADLINE_MILLIS);
    waiting.disconnect();
    a.disconnect();
    b.disconnect();
    entry.timers.advance(1_000);
    assertEquals(2, entry.engines.attempts.size());
    assertTrue(entry.engines.attempts.stream().allMatch(x -> x.stopped));
    entry.assertIdle();
  }

  @Test
  void doesNotDispatchWithoutTheViewLease() {
    entry.call(DEADLINE_MILLIS);
    entry.call(DEADLINE_MILLIS);
    final Caller waiting = entry.call(DEADLINE_MILLIS);
    entry.peers.connected = false;
    entry.timers.advance(4_000);
    entry.engines.attempts.get(0).chunk(0, true);
    entry.timers.advance(100);
    assertEquals(ErrorCode.VIEW_STALE, problem(waiting).code());
    assertEquals(Outcome.NOT_RUN, problem(waiting).outcome());
    assertEquals(2, entry.engines.attempts.size());
    entry.engines.attempts.get(1).chunk(0, true);
    entry.assertIdle();
  }

  @Test
  void completesOnGroupThatIsNoLongerReadyAndRefusesNewCalls() {
    final Caller c = entry.call(DEADLINE_MILLIS);
    entry.group("g0", "boot1", GroupState.DRAINING);
    entry.group("g1", "boot1", GroupState.DOWN);
    entry.publish();
    final Caller refused = entry.call(DEADLINE_MILLIS);
    entry.engines.last().chunk(0, true);
    assertTrue(c.done);
    entry.timers.advance(1_100);
    assertEquals(ErrorCode.NO_CAPACITY, problem(refused).code());
    assertEquals(Outcome.NOT_RUN, problem(refused).outcome());
    entry.assertIdle();
  }

  /** Guards against decisions that are delivered under the lock of the view follower. */
  @Test
  void servesWaitingCallsOfNewViewsWithoutTheFollowersLock() {
    entry.group("g0", "boot1", GroupState.DOWN);
    entry.group("g1", "boot1", GroupState.DOWN);
    entry.publish();
    final Caller c = entry.call(DEADLINE_MILLIS);
    entry.group("g0", "boot1", GroupState.READY);
    entry.engines.forbiddenLock = entry.follower;
    entry.publish();
    entry.timers.advance(50);
    entry.engines.last().chunk(0, true);
    assertTrue(c.done);
    entry.assertIdle();
  }
}
