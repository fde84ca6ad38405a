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

/** Tests that many entries together keep the limit of an instance. */
class EntryTurnsTest {
  private static final long WINDOW_MILLIS = 4_000;
  private static final long STEP_MILLIS = 20;
  private static final int[] ENTRIES = {1, 9, 77, 600};
  private static final double[] LIMITS = {0.5, 2, 3.2, 20, 300};

  static LongStream seeds() {
    return Seeds.all();
  }

  private static List<EntryTurns> entries(int count, Random random) {
    List<EntryTurns> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(new EntryTurns(random));
    }
    return out;
  }

  /** Sends all requests for which there is a turn; returns their times. */
  private static List<Long> saturate(
      List<EntryTurns> entries, double limit, int entryCount, long from, long until) {
    List<Long> sends = new ArrayList<>();
    for (long now = from; now < until; now += STEP_MILLIS) {
      for (EntryTurns e : entries) {
        while (e.isTurn("i", limit, entryCount, now)) {
          e.sent("i");
          sends.add(now);
        }
      }
    }
    return sends;
  }

  /** Asserts the users' bound: in any 4 s, one and a half times what the limit allows, and 5. */
  private static void assertWithinLimit(List<Long> sends, double limit, String what) {
    int from = 0;
    for (int i = 0; i < sends.size(); i++) {
      while (sends.get(i) - sends.get(from) >= WINDOW_MILLIS) {
        from++;
      }
      int n = i - from + 1;
      assertTrue(
          n <= 1.5 * limit * WINDOW_MILLIS / 1_000 + 5, what + ": " + n + " with limit " + limit);
    }
  }

  /**
   * Guards against entries that each keep a share but together send more than an instance accepts,
   * also where a share is far below one request a second, and against capacity left unused.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void allEntriesTogetherKeepTheLimit(long seed) {
    for (int count : ENTRIES) {
      for (double limit : LIMITS) {
        List<EntryTurns> entries = entries(count, new Random(seed));
        List<Long> sends = saturate(entries, limit, count, 0, 60_000);
        assertWithinLimit(sends, limit, count + " entries");
        assertTrue(sends.size() >= 0.5 * limit * 60 - 5, sends.size() + " with limit " + limit);
      }
    }
  }

  /** Guards against a burst after a quiet time in which all entries use turns that they saved. */
  @ParameterizedTest
  @MethodSource("seeds")
  void turnsAreNotSaved(long seed) {
    for (int count : ENTRIES) {
      for (double limit : LIMITS) {
        List<EntryTurns> entries = entries(count, new Random(seed));
        entries.forEach(e -> e.isTurn("i", limit, count, 0));
        List<Long> sends = saturate(entries, limit, count, 100_000, 108_000);
        assertWithinLimit(sends, limit, count + " entries after a pause");
      }
    }
  }

  /** Guards against entries that start while a limit is in force and all send at once. */
  @ParameterizedTest
  @MethodSource("seeds")
  void restartedEntriesKeepTheLimit(long seed) {
    Random random = new Random(seed);
    for (double limit : LIMITS) {
      List<EntryTurns> entries = entries(77, random);
      List<Long> sends = saturate(entries, limit, 77, 0, 10_000);
      for (int i = 0; i < 40; i++) {
        entries.set(i, new EntryTurns(random));
      }
      sends.addAll(saturate(entries, limit, 77, 10_000, 20_000));
      assertWithinLimit(sends, limit, "restart of 40 entries");
    }
  }

  /** Guards against a limit that is applied with the rate that it had before it changed. */
  @Test
  void limitThatChangesIsKept() {
    List<EntryTurns> entries = entries(9, new Random(1));
    saturate(entries, 50, 9, 0, 5_000);
    List<Long> sends = saturate(entries, 2, 9, 5_000, 20_000);
    assertWithinLimit(sends, 2, "after a lower limit");
    int low = sends.size();
    assertTrue(saturate(entries, 50, 9, 20_000, 35_000).size() > 10 * low);
  }

  /** Guards against an instance that is never asked again after it has accepted nothing. */
  @Test
  void instanceThatAcceptsNothingIsAskedNowAndThen() {
    List<EntryTurns> entries = entries(9, new Random(1));
    int sent = saturate(entries, 0, 9, 0, 200_000).size();
    assertTrue(sent >= 8 && sent <= 25, sent + " requests in 200 s");
  }

  /** Guards against memory that grows with each instance that ever had a limit. */
  @Test
  void turnsAtInstancesThatAreGoneAreForgotten() {
    EntryTurns turns = new EntryTurns(new Random(1));
    for (int i = 0; i < 100; i++) {
      turns.isTurn("i-" + i, 3, 9, i);
    }
    turns.retain("i-7"::equals);
    assertEquals(1, turns.size());
  }

  /** Guards against a huge limit that overflows, and against turns kept after a limit has ended. */
  @Test
  void hugeLimitIsNone() {
    EntryTurns turns = new EntryTurns(new Random(1));
    for (double limit : new double[] {1e15, Double.MAX_VALUE, Double.POSITIVE_INFINITY}) {
      for (int i = 0; i < 1_000; i++) {
        assertTrue(turns.isTurn("i", limit, 9, i));
        turns.sent("i");
      }
    }
    assertFalse(turns.isTurn("i", 0.5, 9, 2_000));
    assertTrue(turns.isTurn("i", Double.POSITIVE_INFINITY, 9, 2_000));
    assertEquals(true, turns.isTurn("other", Double.POSITIVE_INFINITY, 9, 2_000));
  }
}
