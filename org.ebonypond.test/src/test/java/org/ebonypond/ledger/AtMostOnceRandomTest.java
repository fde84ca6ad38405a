package org.ebonypond.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.Seeds;
import org.ebonypond.junit.SimulatedEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs random requests against entries that are killed, a ledger whose messages are lost, delayed
 * and duplicated, and a service that is slow, refuses requests and drops connections. The fakes
 * fail the run on a second execution, on a wrong not-run, and on replicas that differ.
 */
class AtMostOnceRandomTest {
  private static final int KEYS = 60;
  private static final long TIMEOUT_MILLIS = 2_000;

  static LongStream seeds() {
    return Seeds.all();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void callsRunAtMostOnceAndAnswersAreCorrect(long seed) {
    Run run = new Run(seed);
    for (int i = 0; i < 2_000; i++) {
      run.injectFaults();
      run.fixture.timers.advance(10);
    }
    run.settle();
  }

  private static final class Run {
    private final Random random;
    private final CallFixture fixture;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final long[] incarnations = {1, 1, 1};

    Run(long seed) {
      random = new Random(seed);
      fixture = new CallFixture(seed, 100_000);
      for (int i = 0; i < incarnations.length; i++) {
        entries.add(fixture.entry("e" + i, 1));
      }
      fixture.ledgerFaults.set(0.1, 0.1, 0.2, 3_000);
      fixture.serviceFaults.set(0, 0, 0.1, 800);
      fixture.service.set(() -> random.nextInt(8) == 0 ? 4_000 : 20, 0.1, 0.1);
    }

    void injectFaults() {
      if (random.nextInt(4) == 0) {
        String key = "k" + random.nextInt(KEYS);
        Caller c = new Caller(key);
        callers.add(c);
        int index = random.nextInt(entries.size());
        c.keyed = random.nextInt(10) > 0;
        c.call =
            entries.get(index).submit(c.keyed ? key : null, "body of " + key, TIMEOUT_MILLIS, c);
        if (random.nextInt(20) == 0) {
          c.disconnected = true;
          fixture.timers.after(random.nextInt(500), c.call::disconnect);
        }
      }
      if (random.nextInt(150) == 0) {
        int index = random.nextInt(entries.size());
        entries.get(index).kill();
        entries.set(index, fixture.entry("e" + index, ++incarnations[index]));
        entries.get(index).register();
      }
      if (random.nextInt(200) == 0) {
        fixture.ledger.setReachable(false);
        fixture.timers.after(random.nextInt(5_000), () -> fixture.ledger.setReachable(true));
      }
    }

    /** Stops the faults; checks that each request has one answer and each key is consistent. */
    void settle() {
      fixture.timers.advance(120_000);
      fixture.ledgerFaults.clear();
      fixture.serviceFaults.clear();
      fixture.ledger.setReachable(true);
      fixture.service.set(() -> 20, 0, 0);
      fixture.timers.advance(120_000);
      callers.forEach(Caller::check);
      for (int k = 0; k < KEYS; k++) {
        int before = fixture.service.executions("k" + k);
        CallAction answer = fixture.ask(entries.get(0), "k" + k, TIMEOUT_MILLIS);
        if (answer instanceof CallAction.AnswerWhole) {
          assertEquals(CallFixture.wholeAnswer("k" + k, before == 1), answer);
        } else {
          assertEquals(Outcome.OUTCOME_UNKNOWN, CallFixture.problem(answer).outcome());
        }
      }
    }

    private final class Caller implements SimulatedEntry.Caller {
      private final String key;
      private SimulatedEntry.RunningCall call;
      private final long deadline = fixture.timers.nowMillis() + TIMEOUT_MILLIS;
      private int timesEnded;
      private boolean disconnected;
      private boolean keyed = true;

      Caller(String key) {
        this.key = key;
      }

      @Override
      public void answered(CallAction answer) {
        timesEnded++;
        assertTrue(fixture.timers.nowMillis() <= deadline, "answered after the deadline");
        if (!keyed) {
          return;
        }
        if (answer instanceof CallAction.AnswerWhole w) {
          assertEquals(CallFixture.wholeAnswer(key, w.replayed()), answer);
          assertEquals(1, fixture.service.executions(key));
        }
        // Without a reply of the ledger, not-run refers to this request only, not to its key.
        if (answer instanceof CallAction.AnswerProblem p
            && p.outcome() == Outcome.NOT_RUN
            && p.code() != ErrorCode.NO_QUORUM) {
          assertEquals(0, fixture.service.executions(key));
        }
      }

      @Override
      public void connectionLost() {
        timesEnded++;
      }

      void check() {
        assertTrue(
            timesEnded == 1 || (disconnected && timesEnded == 0),
            "answers of " + key + ": " + timesEnded);
      }
    }
  }
}
