package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests limits over all entries that each entry enforces without communication. */
class SharedLimitsTest {
  private static final int ENTRIES = 7;
  private static final long WINDOW_MILLIS = 10_000;

  static LongStream seeds() {
    return Seeds.all();
  }

  /** Guards against retries of all entries together that exceed the budget in any window. */
  @ParameterizedTest
  @MethodSource("seeds")
  void retriesOfAllEntriesStayWithinTheBudget(long seed) {
    Random random = new Random(seed);
    List<RetryAllowance> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new RetryAllowance(0.2, 132, WINDOW_MILLIS));
    }
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    for (long now = 0; now < 60_000; now += 10) {
      RetryAllowance e = entries.get(random.nextInt(ENTRIES));
      e.recordRequest("s", now);
      requests.add(now);
      for (int i = 0; i < 3; i++) {
        if (e.tryRetry("s", ENTRIES, now)) {
          retries.add(now);
        }
      }
    }
    for (long end = WINDOW_MILLIS; end <= 60_000; end += 500) {
      long from = end - WINDOW_MILLIS;
      final long until = end;
      long requested = requests.stream().filter(t -> t > from && t <= until).count();
      long retried = retries.stream().filter(t -> t > from && t <= until).count();
      assertTrue(retried <= 0.2 * requested + 132, retried + " retries of " + requested);
    }
  }

  /** Guards against too many requests per second at an instance that turned cold without notice. */
  @Test
  void requestsOfAllEntriesStayUnderTheColdLimit() {
    List<Long> sends = new ArrayList<>();
    List<ArrivalGuard> guards = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      guards.add(new ArrivalGuard(1.5, 5, new Random(1), 0));
    }
    for (long now = 0; now < 5_000; now++) {
      for (ArrivalGuard g : guards) {
        if (g.allows("i", 28, false, ENTRIES, now)) {
          g.sent("i", now);
          sends.add(now);
        }
      }
    }
    for (long from = 0; from < 4_000; from += 50) {
      final long start = from;
      long n = sends.stream().filter(t -> t >= start && t < start + 1_000).count();
      assertTrue(n <= 28 * 1.5 + 5, n + " in the second from " + from);
    }
  }

  /**
   * Guards against a restarted entry that exceeds its share together with its previous process, and
   * against one that halves its share although no process has sent anything for seconds.
   */
  @Test
  void entryUsesHalfOfItsShareOnlyInTheFirstSecondOfItsProcess() {
    assertEquals(6, sentFrom(-1_000));
    assertEquals(3, sentFrom(0));
  }

  /** Returns the number of requests from 0 to 1 s of an entry that started at a time. */
  private static int sentFrom(long startMillis) {
    ArrivalGuard g = new ArrivalGuard(1.5, 5, new Random(1), startMillis);
    int n = 0;
    for (long now = 0; now < 1_000; now++) {
      if (g.allows("i", 28, false, ENTRIES, now)) {
        g.sent("i", now);
        n++;
      }
    }
    return n;
  }

  /**
   * Guards against an overloaded cold instance when there are more entries than it accepts requests
   * per second, and each entry sends one request in the same second.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void knownColdInstanceIsNotOverloadedByManyEntries(long seed) {
    for (int entries : new int[] {20, 75, 600}) {
      Random random = new Random(seed);
      List<ArrivalGuard> guards = new ArrayList<>();
      for (int i = 0; i < entries; i++) {
        guards.add(new ArrivalGuard(1.5, 5, random, 0));
      }
      List<Long> sends = new ArrayList<>();
      for (long now = 0; now < 6_000; now += 20) {
        for (ArrivalGuard g : guards) {
          if (g.allows("i", 18, true, entries, now)) {
            g.sent("i", now);
            sends.add(now);
          }
        }
      }
      for (long from = 0; from < 5_000; from += 50) {
        final long start = from;
        long n = sends.stream().filter(t -> t >= start && t < start + 1_000).count();
        assertTrue(n <= 18 * 1.5 + 5, n + " in the second from " + from);
      }
      assertTrue(sends.size() >= 18 * 6 / 2, "only " + sends.size() + " in 6 s");
    }
  }

  /** Guards against overshoot and slack being used at an instance that is known to be cold. */
  @Test
  void knownColdInstanceGetsItsPublishedRate() {
    ArrivalGuard g = new ArrivalGuard(1.5, 5, new Random(1), 0);
    int n = 0;
    for (long now = 0; now < 1_000; now++) {
      if (g.allows("i", 28, true, ENTRIES, now)) {
        g.sent("i", now);
        n++;
      }
    }
    assertTrue(n <= 4, n + " requests of one entry");
    assertTrue(new ArrivalGuard(1.5, 5, new Random(1), 0).allows("i", 0, true, ENTRIES, 0));
    assertFalse(g.allows("i", 28, true, ENTRIES, 999));
  }
}
