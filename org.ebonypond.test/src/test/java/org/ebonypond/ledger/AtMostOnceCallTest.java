package org.ebonypond.ledger;

import static org.ebonypond.ledger.CallFixture.problem;
import static org.ebonypond.ledger.CallFixture.wholeAnswer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.SimulatedEntry;
import org.ebonypond.junit.SimulatedEntry.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AtMostOnceCallTest {
  private final CallFixture fixture = new CallFixture(1, 1_000);
  private final SimulatedEntry first = fixture.entry("a", 1);
  private final SimulatedEntry other = fixture.entry("b", 1);

  /**
   * Guards against a second run and a wrong answer when the entry is killed at any step and the
   * caller retries at another entry, before and after the killed one restarts.
   */
  @ParameterizedTest
  @EnumSource(Step.class)
  void retryAfterKilledEntryDoesNotRunTwice(Step step) {
    first.killBefore(step);
    fixture.submit(first, "k", 1_000);
    fixture.timers.advance(100);
    CallAction answer = fixture.ask(other, "k", 1_000);
    fixture.entry("a", 2).register();
    fixture.timers.advance(100);
    CallAction later = fixture.ask(other, "k", 1_000);
    // Nothing is recorded before the intent; the answer is recorded after the outcome.
    if (step == Step.INTENT || step == Step.REPLY) {
      assertEquals(wholeAnswer("k", step == Step.REPLY), answer);
      assertEquals(wholeAnswer("k", true), later);
    } else {
      assertEquals(Outcome.OUTCOME_UNKNOWN, problem(answer).outcome());
      assertEquals(Outcome.OUTCOME_UNKNOWN, problem(later).outcome());
    }
    assertEquals(step == Step.DISPATCH ? 0 : 1, fixture.service.executions("k"));
  }

  /** Checks that the fakes detect a second run if an unknown outcome is treated as a free key. */
  @Test
  void secondRunOfAnUnknownCallIsDetected() {
    first.killBefore(Step.OUTCOME);
    fixture.submit(first, "k", 1_000);
    fixture.timers.advance(100);
    AttemptId next = new AttemptId("b", 1, 1);
    other.filterIntentResults(r -> new LedgerResult(LedgerResult.Kind.RUN, next, null, 0));
    assertThrows(EbonypondException.class, () -> fixture.ask(other, "k", 1_000));
  }

  /** Guards against two runs when a retry arrives at another entry at the same time. */
  @Test
  void simultaneousRetryGetsTheSameAnswer() {
    fixture.service.set(() -> 500, 0, 0);
    List<CallAction> one = fixture.submit(first, "k", 2_000);
    List<CallAction> two = fixture.submit(other, "k", 2_000);
    fixture.timers.advance(2_000);
    assertEquals(1, fixture.service.executions("k"));
    assertEquals(2, one.size() + two.size());
    assertTrue(one.contains(wholeAnswer("k", false)) != two.contains(wholeAnswer("k", false)));
    assertTrue(one.contains(wholeAnswer("k", true)) != two.contains(wholeAnswer("k", true)));
  }

  /** Guards against the loss of an answer that arrives after the caller's deadline. */
  @Test
  void answerAfterTheDeadlineIsRecorded() {
    fixture.service.set(() -> 5_000, 0, 0);
    CallAction answer = fixture.ask(first, "k", 1_000);
    assertEquals(Outcome.OUTCOME_UNKNOWN, problem(answer).outcome());
    fixture.timers.advance(5_000);
    assertEquals(wholeAnswer("k", true), fixture.ask(other, "k", 1_000));
  }

  /** Guards against the loss of an outcome that is recorded after its entry has restarted. */
  @Test
  void lateOutcomeOfTheFirstOwnerTurnsUnknownIntoDone() {
    fixture.service.set(() -> 500, 0, 0);
    fixture.submit(first, "k", 2_000);
    fixture.timers.advance(100);
    fixture.entry("a", 2).register();
    fixture.timers.advance(100);
    assertEquals(Outcome.OUTCOME_UNKNOWN, problem(fixture.ask(other, "k", 100)).outcome());
    fixture.timers.advance(1_000);
    assertEquals(wholeAnswer("k", true), fixture.ask(other, "k", 100));
  }

  /** Guards against a key that stays blocked after nothing was written. */
  @Test
  void releasedCallRunsElsewhere() {
    fixture.service.set(() -> 1, 1, 0);
    CallAction answer = fixture.ask(first, "k", 1_001);
    assertEquals(Outcome.NOT_RUN, problem(answer).outcome());
    fixture.service.set(() -> 1, 0, 0);
    assertEquals(wholeAnswer("k", false), fixture.ask(other, "k", 1_000));
  }

  /** Guards against a run by an intent that commits after its call has ended. */
  @Test
  void intentThatCommitsLateDoesNotRun() {
    fixture.ledgerFaults.set(0, 0, 1, 60_000);
    CallAction answer = fixture.ask(first, "k", 1_000);
    assertEquals(Outcome.OUTCOME_UNKNOWN, problem(answer).outcome());
    fixture.timers.advance(200_000);
    assertEquals(0, fixture.service.executions("k"));
    fixture.ledgerFaults.clear();
    assertEquals(wholeAnswer("k", false), fixture.ask(other, "k", 1_000));
  }

  /** Guards against delaying a refusal until the deadline when no replica can be reached. */
  @Test
  void unreachableLedgerIsAnsweredNotRunEarly() {
    fixture.ledger.setReachable(false);
    List<CallAction> answers = fixture.submit(first, "k", 30_000);
    fixture.timers.advance(AtMostOnceCall.LEDGER_TIMEOUT_MILLIS + 500);
    assertEquals(Outcome.NOT_RUN, problem(answers.get(0)).outcome());
    assertEquals(ErrorCode.NO_QUORUM, problem(answers.get(0)).code());
  }

  /** Guards against an answer that waits for a ledger that failed after the dispatch. */
  @Test
  void answerIsNotDelayedByUnreachableLedger() {
    fixture.service.set(() -> 500, 0, 0);
    fixture.timers.after(100, () -> fixture.ledger.setReachable(false));
    List<CallAction> answers = fixture.submit(first, "k", 30_000);
    fixture.timers.advance(2_100);
    assertEquals(List.of(wholeAnswer("k", false)), answers);
    fixture.ledger.setReachable(true);
    fixture.timers.advance(2_000);
    assertEquals(wholeAnswer("k", true), fixture.ask(other, "k", 1_000));
  }

  /** Guards against a shutdown that ends dispatched calls or runs new ones. */
  @Test
  void shutdownRefusesOnlyCallsThatHaveNotStarted() {
    CallRequest r = new CallRequest("w", null, "d", new AttemptId("a", 1, 1), 0, 1_000, 0);
    AtMostOnceCall running = new AtMostOnceCall(r);
    running.start(0);
    assertEquals(List.of(), running.onShutdown(10));
    AtMostOnceCall waiting = new AtMostOnceCall(r);
    CallAction refusal = waiting.onShutdown(10).get(0);
    assertEquals(Outcome.NOT_RUN, problem(refusal).outcome());
    assertEquals(ErrorCode.SHUTTING_DOWN, problem(refusal).code());
  }

  /** Guards against a retry of a request that carries no key. */
  @Test
  void requestWithoutKeyIsDispatchedOnce() {
    CallRequest r = new CallRequest("w", null, "d", new AttemptId("a", 1, 1), 0, 1_000, 0);
    AtMostOnceCall call = new AtMostOnceCall(r);
    assertEquals(List.of(new CallAction.Dispatch()), call.start(0));
    assertEquals(Outcome.NOT_RUN, problem(call.onNotRun(true, 10).get(0)).outcome());
    assertEquals(List.of(), call.onNotRun(true, 20));
  }

  /** Guards against an incomplete replay of an answer that was too large to keep. */
  @Test
  void answerThatWasTooLargeToKeepIsReportedAsDone() {
    StoredAnswer large =
        new StoredAnswer(201, List.of(), new byte[StoredAnswer.MAX_BODY_BYTES + 1], true);
    AtMostOnceCall call =
        new AtMostOnceCall(new CallRequest("w", "k", "d", new AttemptId("a", 1, 1), 0, 1_000, 0));
    call.start(0);
    LedgerResult done = new LedgerResult(LedgerResult.Kind.DONE, null, large.bounded(), 0);
    assertEquals(List.of(new CallAction.AnswerNotKept(201)), call.onIntentResult(done, 5));
  }
}
