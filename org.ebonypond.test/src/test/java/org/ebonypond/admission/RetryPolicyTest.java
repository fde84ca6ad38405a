package org.ebonypond.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class RetryPolicyTest {
  private final RetryBudget budget = new RetryBudget(10);
  private final ServiceRates rates = new ServiceRates();
  private final RetryPolicy policy = new RetryPolicy(budget, rates);

  private static FailedAttempt failed(RetryClass call, FailureKind failure, int attempts) {
    return new FailedAttempt("w", "m", call, failure, attempts, 100, 5_000);
  }

  /**
   * Guards against a second run of a non-idempotent call, and against a wrong outcome in the
   * answer.
   */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT,CONNECTION_LOST,retry",
    "IDEMPOTENT,TIMEOUT,retry",
    "MODEL_STREAM,CONNECTION_LOST,retry",
    "MODEL_STREAM,REFUSED_NOT_RUN,retry",
    "MODEL_STREAM,CALLER_ERROR,FAILED",
    "NON_IDEMPOTENT,NOT_DISPATCHED,retry",
    "NON_IDEMPOTENT,REFUSED_NOT_RUN,NOT_RUN",
    "NON_IDEMPOTENT,CONNECTION_LOST,OUTCOME_UNKNOWN",
    "NON_IDEMPOTENT,TIMEOUT,OUTCOME_UNKNOWN",
    "NON_IDEMPOTENT,UPSTREAM_ERROR,OUTCOME_UNKNOWN",
    "NON_IDEMPOTENT_WITHOUT_KEY,NOT_DISPATCHED,NOT_RUN",
    "NON_IDEMPOTENT_WITHOUT_KEY,CONNECTION_LOST,OUTCOME_UNKNOWN"
  })
  void retriesOnlyWhatMayRunAgain(RetryClass call, FailureKind failure, String expected) {
    RetryDecision d = policy.decide(failed(call, failure, 1), 0);
    if (expected.equals("retry")) {
      assertInstanceOf(RetryDecision.Retry.class, d);
    } else {
      RetryDecision.Final f = assertInstanceOf(RetryDecision.Final.class, d);
      assertEquals(Outcome.valueOf(expected), f.outcome());
      assertTrue(f.retryAfterSeconds() >= 1);
    }
  }

  /**
   * Guards against retries that cannot finish before the deadline, and against unlimited retries.
   */
  @Test
  void respectsDeadlineAndAttempts() {
    rates.onCompleted("m", 100, 100, 1_000);
    FailedAttempt f = failed(RetryClass.MODEL_STREAM, FailureKind.TIMEOUT, 1);
    assertInstanceOf(RetryDecision.Retry.class, policy.decide(f, 3_900));
    RetryDecision.Final d = assertInstanceOf(RetryDecision.Final.class, policy.decide(f, 4_100));
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, d.code());
    d =
        assertInstanceOf(
            RetryDecision.Final.class,
            policy.decide(failed(RetryClass.IDEMPOTENT, FailureKind.NOT_DISPATCHED, 3), 0));
    assertEquals(Outcome.FAILED, d.outcome(), "an earlier attempt may have run");
  }

  /** Guards against retries that multiply the load while a group fails. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void attemptsStayWithinBudgetWhileEverythingFails(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> firsts = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    boolean exhausted = false;
    for (long now = 0; now < 60_000; now += random.nextInt(20)) {
      long t = now;
      budget.onFirstAttempt("w" + random.nextInt(10), now);
      firsts.add(now);
      FailedAttempt f =
          new FailedAttempt(
              "w" + random.nextInt(10),
              "m",
              RetryClass.IDEMPOTENT,
              FailureKind.CONNECTION_LOST,
              1 + random.nextInt(2),
              1,
              now + 1_000);
      if (policy.decide(f, now) instanceof RetryDecision.Retry) {
        retries.add(now);
        long recent = retries.stream().filter(x -> x > t - RetryBudget.WINDOW_MILLIS).count();
        // The window advances in steps of a tenth of its length.
        long covered = firsts.stream().filter(x -> x > t - RetryBudget.WINDOW_MILLIS).count();
        assertTrue(
            recent <= RetryBudget.ENTRY_FLOOR + covered * 0.12 + 1,
            recent + " retries for " + covered);
      } else {
        exhausted = true;
      }
    }
    assertTrue(exhausted && retries.size() > firsts.size() * 0.08, "" + retries.size());
    assertTrue(retries.size() <= firsts.size() * 0.10 + 7 * RetryBudget.ENTRY_FLOOR);
  }

  /** Guards against a workspace that uses up the retry budget of others. */
  @Test
  void failingWorkspaceKeepsToItsOwnBudget() {
    for (int i = 0; i < 1_000; i++) {
      budget.onFirstAttempt("healthy", 0);
      if (i % 10 == 0) {
        budget.onFirstAttempt("failing", 0);
      }
    }
    int n = 0;
    while (budget.tryRetry("failing", 1)) {
      n++;
    }
    assertEquals(10 + RetryBudget.WORKSPACE_FLOOR, n);
    assertTrue(budget.tryRetry("healthy", 1));
  }

  /** Guards against a budget that concurrent threads exceed together. */
  @Test
  void countsExactlyFromSeveralThreads() throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(4);
    try {
      List<Callable<Integer>> tasks = new ArrayList<>();
      for (int t = 0; t < 4; t++) {
        String w = "w" + t;
        tasks.add(
            () -> {
              int granted = 0;
              for (int i = 0; i < 1_000; i++) {
                budget.onFirstAttempt(w, 5);
              }
              for (int i = 0; i < 1_000; i++) {
                granted += budget.tryRetry(w, 5) ? 1 : 0;
              }
              return granted;
            });
      }
      int granted = 0;
      for (Future<Integer> f : pool.invokeAll(tasks)) {
        granted += f.get();
      }
      assertTrue(granted <= 400 + RetryBudget.ENTRY_FLOOR, "granted " + granted);
      assertTrue(granted >= 400, "granted " + granted);
    } finally {
      pool.shutdownNow();
    }
  }
}
