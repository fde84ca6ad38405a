package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.FakePlainService;
import org.ebonypond.junit.Faults;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.Seeds;
import org.ebonypond.server.entry.ServiceEntry.Call;
import org.ebonypond.server.http.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against repeated executions, wrong not-run answers and callers without exactly one answer.
 */
class AtMostOnceRunnerTest {
  private static final long DEADLINE_MILLIS = 10_000;

  private final Random random = new Random(1);
  private final ManualTimerService timers = new ManualTimerService();
  private final FakeLedgerReplica ledger = new FakeLedgerReplica(timers, random);
  private final Faults network = new Faults(timers, random);
  private final FakePlainService service = new FakePlainService(timers, network);

  static LongStream seeds() {
    return Seeds.few();
  }

  private ServiceEntry entry(String name, long incarnation) {
    return new ServiceEntry(name, incarnation, timers, ledger, service);
  }

  private static Problem problem(Call c) {
    Problem p = c.problem;
    assertNotNull(p);
    return p;
  }

  /** Kills an entry in each of the first 60 ms of a call and retries through another entry. */
  @Test
  void retryThroughAnotherEntryNeverRunsTheCallTwice() {
    service.set(() -> 5, 0, 0);
    for (int step = 0; step < 60; step++) {
      String key = "k" + step;
      ServiceEntry first = entry("a" + step, 1);
      final ServiceEntry second = entry("b" + step, 1);
      timers.advance(100);
      first.call(key, key, DEADLINE_MILLIS);
      timers.advance(step);
      first.kill();
      final Call retry = second.call(key, key, DEADLINE_MILLIS);
      timers.advance(1_000);
      entry("a" + step, 2);
      timers.advance(DEADLINE_MILLIS);
      retry.check(service);
      int runs = service.executions(key);
      assertEquals(retry.answer != null ? 1 : runs, runs);
      if (retry.answer == null) {
        assertEquals(Outcome.OUTCOME_UNKNOWN, problem(retry).outcome());
      }
    }
  }

  @Test
  void fencedEntryContinuesUnderHigherIncarnation() {
    final ServiceEntry old = entry("a", 1);
    timers.advance(100);
    entry("a", 7).kill();
    entry("a", 8);
    timers.advance(100);
    Call fenced = old.call("k1", "k1", DEADLINE_MILLIS);
    timers.advance(1_000);
    assertEquals(ErrorCode.SHUTTING_DOWN, problem(fenced).code());
    assertEquals(Outcome.NOT_RUN, problem(fenced).outcome());
    assertEquals(0, service.executions("k1"));
    Call next = old.call("k1", "k1", DEADLINE_MILLIS);
    timers.advance(1_000);
    assertNotNull(next.answer);
    assertTrue(old.incarnation.current() > 8);
  }

  /** Guards against the outcome unknown for a call that was never sent. */
  @Test
  void answersNotRunWhenTheDeadlinePassesInAdmission() {
    service.set(() -> 60_000, 0, 0);
    ServiceEntry e = entry("a", 1);
    timers.advance(100);
    for (int i = 0; i < 4; i++) {
      e.call("busy" + i, "busy" + i, 100_000);
    }
    timers.advance(30);
    Call waiting = e.call("k", "k", 1_009);
    Call keyless = e.call(null, "n", 1_009);
    timers.advance(1_010);
    assertEquals(Outcome.NOT_RUN, problem(waiting).outcome());
    assertEquals(Outcome.NOT_RUN, problem(keyless).outcome());
    service.set(() -> 5, 0, 0);
    timers.advance(120_000);
    // The deadline is long enough for the service time that the entry has measured.
    Call retry = e.call("k", "k", 200_000);
    timers.advance(1_000);
    assertNotNull(retry.answer);
    waiting.check(service);
    e.entry.assertIdle();
  }

  @Test
  void answersNotRunWhenAdmissionRefuses() {
    ServiceEntry e = entry("a", 1);
    timers.advance(100);
    e.entry.removePools();
    Call c = e.call("k", "k", DEADLINE_MILLIS);
    timers.advance(1_500);
    assertEquals(Outcome.NOT_RUN, problem(c).outcome());
    assertEquals(ErrorCode.NO_CAPACITY, problem(c).code());
    c.check(service);
    e.entry.assertIdle();
  }

  /** Guards against a deadline that is extended by the time in admission. */
  @Test
  void idempotentCallEndsByItsDeadlineAfterWaitingInAdmission() {
    service.set(() -> 3_000, 0, 0);
    ServiceEntry e = entry("a", 1);
    for (int i = 0; i < 4; i++) {
      e.callIdempotent("busy" + i, 20_000);
    }
    final Call c = e.callIdempotent("k", 10_000);
    timers.advance(2_500);
    service.set(() -> 60_000, 0, 0);
    timers.advance(7_500);
    assertEquals(1, service.executions("k"));
    assertEquals(1, c.ends);
    assertEquals(Outcome.FAILED, problem(c).outcome());
    timers.advance(120_000);
    assertEquals(1, c.ends);
    e.entry.assertIdle();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void callsRunAtMostOnceUnderFaults(long seed) {
    random.setSeed(seed);
    ledger.faults.set(0.1, 0.1, 0.2, 2_500);
    ledger.notLeaderRate = 0.1;
    network.set(0, 0, 0.1, 800);
    service.set(() -> random.nextInt(8) == 0 ? 4_000 : 20, 0.1, 0.1);
    long incarnation = 1;
    List<ServiceEntry> entries = new ArrayList<>(List.of(entry("e0", 1), entry("e1", 1)));
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 1_500; i++) {
      timers.advance(10);
      if (random.nextInt(4) == 0) {
        String key = "k" + random.nextInt(60);
        calls.add(entries.get(random.nextInt(2)).call(key, key, 500 + random.nextInt(8_000)));
      }
      if (random.nextInt(100) == 0) {
        int replaced = random.nextInt(2);
        entries.get(replaced).kill();
        entries.set(replaced, entry("e" + replaced, ++incarnation));
      }
      for (ServiceEntry e : entries) {
        e.entry.confirmServices();
      }
    }
    timers.advance(120_000);
    calls.forEach(c -> c.check(service));
    assertTrue(
        calls.stream().filter(c -> c.answer != null).count() > 20, "too few calls were answered");
    for (ServiceEntry e : entries) {
      e.entry.assertIdle();
      assertEquals(0, e.unfinished, "calls that a shutdown would wait for");
    }
  }
}
