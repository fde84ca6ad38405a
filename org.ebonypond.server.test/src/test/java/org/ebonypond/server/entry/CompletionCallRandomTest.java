package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.control.GroupState;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.Seeds;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.entry.EntryFixture.Caller;
import org.ebonypond.server.entry.FakeEngines.FakeAttempt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against leaked slots and attempts, missing or repeated ends and wrong chunks under random
 * failures.
 */
class CompletionCallRandomTest {
  private static final int GROUPS = 3;
  private static final int LENGTH = 6;
  private static final int STEPS = 3_000;
  private static final int MAX_ATTEMPTS = 4;

  static LongStream seeds() {
    return Seeds.few();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void everyCallEndsOnceAndReleasesItsSlot(long seed) {
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
    private final List<Caller> disconnected = new ArrayList<>();
    private int boots = 1;

    Run(long seed) {
      random = new Random(seed);
      entry = new EntryFixture(GROUPS, 2, seed);
    }

    void step() {
      entry.timers.advance(random.nextInt(20));
      switch (random.nextInt(40)) {
        case 0, 1 -> callers.add(entry.call(200 + random.nextInt(12_000), random.nextInt(3)));
        case 3 -> disconnect();
        case 4 -> changeGroup();
        case 5 -> entry.peers.connected = entry.peers.connected && random.nextInt(10) > 0;
        case 6, 7 -> entry.peers.connected = true;
        default -> deliverEvent();
      }
    }

    private void disconnect() {
      if (!callers.isEmpty()) {
        Caller c = callers.get(random.nextInt(callers.size()));
        if (!c.ended()) {
          c.disconnect();
          disconnected.add(c);
        }
      }
    }

    private void changeGroup() {
      GroupState state = random.nextInt(3) == 0 ? GroupState.DOWN : GroupState.READY;
      entry.group("g" + random.nextInt(GROUPS), "boot" + ++boots, state);
      entry.publish();
    }

    /** Delivers an event of a recent attempt, which may have failed or been stopped before. */
    private void deliverEvent() {
      List<FakeAttempt> all = entry.engines.attempts;
      if (all.isEmpty()) {
        return;
      }
      FakeAttempt a = all.get(all.size() - 1 - random.nextInt(Math.min(8, all.size())));
      int event = random.nextInt(60);
      if (a.refused) {
        a.fail(FailureKind.NOT_RUN);
      } else if (event < 3) {
        FailureKind[] kinds = FailureKind.values();
        // An engine that has sent a chunk cannot declare that it did not run the request.
        a.fail(a.mayHaveRun ? FailureKind.BROKEN : kinds[random.nextInt(kinds.length)]);
      } else if (event == 3) {
        a.end();
      } else {
        long offset = event < 20 ? a.request.resumeOffset() + random.nextInt(LENGTH) : a.next;
        a.chunk(offset, offset >= LENGTH);
      }
    }

    void settle() {
      entry.peers.connected = true;
      entry.timers.advance(20_000);
      int completed = 0;
      int notRun = 0;
      for (Caller c : callers) {
        assertNotEquals(
            disconnected.contains(c),
            c.ended(),
            "a caller got no end, or one after it disconnected");
        if (c.done) {
          completed++;
        } else if (c.ended()) {
          var p = c.problem;
          assertNotNull(p);
          if (p.outcome() == Outcome.NOT_RUN) {
            notRun++;
            assertTrue(c.chunks.isEmpty(), "not-run after chunks");
            assertTrue(
                entry.engines.attempts.stream()
                    .filter(a -> a.request.requestId().equals(c.id))
                    .noneMatch(a -> a.mayHaveRun),
                "not-run although an engine may have run it");
          }
        }
      }
      assertTrue(
          completed > 0 && notRun > 0,
          "too few completed or refused calls: " + completed + ", " + notRun);
      for (Caller c : callers) {
        List<FakeAttempt> attempts =
            entry.engines.attempts.stream()
                .filter(a -> a.request.requestId().equals(c.id))
                .toList();
        assertTrue(attempts.size() <= MAX_ATTEMPTS, "too many attempts");
        assertTrue(attempts.stream().allMatch(a -> a.ended || a.stopped), "an attempt goes on");
      }
      entry.assertIdle();
    }
  }
}
