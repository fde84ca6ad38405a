package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.Seeds;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.entry.EntryFixture.Caller;
import org.ebonypond.server.entry.FakeEngines.FakeAttempt;
import org.ebonypond.server.http.Problem;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against streams that end before their deadline although their engines only pause. */
class SilentEnginesRandomTest {
  private static final int GROUPS = 10;
  private static final int LENGTH = 12;
  private static final int STEPS = 6_000;
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_SILENCE_MILLIS = 12_000;
  private static final int MAX_DEADLINE_MILLIS = 30_000;

  static LongStream seeds() {
    return Seeds.few();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void startedCallsEndOnlyCompleteOrAtTheirDeadline(long seed) {
    Run run = new Run(seed);
    for (int i = 0; i < STEPS; i++) {
      run.step();
    }
    run.settle();
  }

  private static final class Run {
    private final Random random;
    private final EntryFixture entry;
    private final List<Caller> callers = new ArrayList<>();
    private final Map<FakeAttempt, Long> silentUntil = new HashMap<>();
    private int first;
    private int second;

    Run(long seed) {
      random = new Random(seed);
      entry = new EntryFixture(GROUPS, 2, seed);
    }

    void step() {
      entry.timers.advance(random.nextInt(20));
      if (random.nextInt(50) == 0) {
        call();
        confirmEngines();
        return;
      }
      List<FakeAttempt> running = running();
      if (running.isEmpty()) {
        return;
      }
      FakeAttempt a = running.get(random.nextInt(running.size()));
      long now = entry.timers.nowMillis();
      if (silentUntil.computeIfAbsent(a, k -> now + startMillis()) > now) {
        return;
      }
      int event = random.nextInt(30);
      if (event == 0) {
        silentUntil.put(a, now + random.nextInt(MAX_SILENCE_MILLIS));
      } else if (event < 10 && !a.mayHaveRun && running(a.request.requestId()).size() > 1) {
        a.fail(FailureKind.NOT_RUN);
      } else {
        chunk(a);
      }
    }

    private int startMillis() {
      return random.nextInt(3) == 0 ? random.nextInt(MAX_SILENCE_MILLIS) : 0;
    }

    private void call() {
      long deadline = MAX_DEADLINE_MILLIS / 2 + random.nextInt(MAX_DEADLINE_MILLIS / 2);
      Caller c = entry.call(deadline);
      long end = entry.timers.nowMillis() + deadline;
      c.onEnd = () -> checkEnd(c, end);
      callers.add(c);
    }

    /** Clears the suspicions of the engines, as their next announcements would. */
    private void confirmEngines() {
      for (int i = 0; i < GROUPS; i++) {
        entry.routing.suspicion().confirmUp("g" + i + "a", "boot1", entry.timers.nowMillis());
      }
    }

    private void checkEnd(Caller c, long deadline) {
      Problem p = c.problem;
      if (!c.done && !attempts(c.id).isEmpty()) {
        assertNotNull(p);
        assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, p.code());
        assertEquals(Outcome.FAILED, p.outcome());
        assertTrue(entry.timers.nowMillis() >= deadline, "ended before the deadline");
      }
    }

    /** Sends the next chunk, and counts which of several attempts of a call goes on. */
    private void chunk(FakeAttempt a) {
      List<FakeAttempt> beside = running(a.request.requestId());
      a.chunk(a.next, a.next >= LENGTH);
      for (FakeAttempt b : beside) {
        assertEquals(b != a, b.stopped, "one attempt goes on");
      }
      if (beside.size() > 1) {
        first += a == beside.get(0) ? 1 : 0;
        second += a == beside.get(0) ? 0 : 1;
      }
    }

    private List<FakeAttempt> running() {
      return entry.engines.attempts.stream().filter(a -> !a.stopped && !a.ended).toList();
    }

    private List<FakeAttempt> running(String request) {
      return attempts(request).stream().filter(a -> !a.stopped && !a.ended).toList();
    }

    private List<FakeAttempt> attempts(String request) {
      return entry.engines.attempts.stream()
          .filter(a -> a.request.requestId().equals(request))
          .toList();
    }

    void settle() {
      entry.timers.advance(MAX_DEADLINE_MILLIS);
      for (Caller c : callers) {
        assertTrue(c.ended(), "a caller got no end");
        assertTrue(attempts(c.id).size() <= MAX_ATTEMPTS, "too many attempts");
      }
      assertEquals(List.of(), running(), "attempts that go on");
      assertTrue(callers.stream().anyMatch(c -> c.done), "no call was completed");
      assertTrue(
          first > 0 && second > 0,
          "too few attempts went on beside others: " + first + ", " + second);
      entry.assertIdle();
    }
  }
}
