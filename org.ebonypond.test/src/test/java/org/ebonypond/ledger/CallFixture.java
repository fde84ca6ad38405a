package org.ebonypond.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ebonypond.junit.FakeLedgerShard;
import org.ebonypond.junit.FakePlainService;
import org.ebonypond.junit.Faults;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.SimulatedEntry;

/** Entries, a ledger and a plain service on a manual clock. */
final class CallFixture {
  final ManualTimerService timers = new ManualTimerService();
  final Faults ledgerFaults;
  final Faults serviceFaults;
  final FakeLedgerShard ledger;
  final FakePlainService service;

  CallFixture(long seed, long maxRecords) {
    ledgerFaults = new Faults(timers, new Random(seed));
    serviceFaults = new Faults(timers, new Random(seed + 1));
    ledger = new FakeLedgerShard(timers, ledgerFaults, maxRecords);
    service = new FakePlainService(timers, serviceFaults);
  }

  SimulatedEntry entry(String name, long incarnation) {
    return new SimulatedEntry(name, incarnation, timers, ledger, service);
  }

  /** Submits a request and returns the list to which its answers are added. */
  List<CallAction> submit(SimulatedEntry entry, String key, long timeoutMillis) {
    Answers a = new Answers();
    entry.submit(key, "body of " + key, timeoutMillis, a);
    return a.list;
  }

  /** Returns the only answer of a request by the caller's deadline. */
  CallAction ask(SimulatedEntry entry, String key, long timeoutMillis) {
    List<CallAction> answers = submit(entry, key, timeoutMillis);
    timers.advance(timeoutMillis);
    if (answers.size() != 1) {
      throw new AssertionError("answers: " + answers);
    }
    return answers.get(0);
  }

  static CallAction.AnswerProblem problem(CallAction action) {
    return (CallAction.AnswerProblem) action;
  }

  static CallAction wholeAnswer(String key, boolean replayed) {
    return new CallAction.AnswerWhole(FakePlainService.answerOf(key), replayed);
  }

  private static final class Answers implements SimulatedEntry.Caller {
    private final List<CallAction> list = new ArrayList<>();

    @Override
    public void answered(CallAction answer) {
      list.add(answer);
    }

    @Override
    public void connectionLost() {
      // The list stays empty, which the test checks.
    }
  }
}
