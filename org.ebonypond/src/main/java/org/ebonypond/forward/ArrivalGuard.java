package org.ebonypond.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Bounds the requests that this entry sends to one instance in any second. An instance can turn
 * cold without warning and then bears only a few requests a second from all entries together; so
 * each entry always keeps to its share of that number.
 */
public final class ArrivalGuard {
  private static final long WINDOW_MILLIS = 1_000;

  /** A request may arrive later than it was sent; this part of the bound stays unused. */
  private static final double USED_PART = 0.9;

  /** The part of its share that an entry uses at first: before a restart it may have used it. */
  private static final double FIRST_SECOND_PART = 0.5;

  /** Longer than any instance stays cold; one that is cold still gets another turn. */
  private static final long FORGET_MILLIS = 60_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final double overshoot;
  private final double slack;
  private final RandomGenerator random;
  private final Map<String, Deque<Long>> sends = new HashMap<>();

  /** When this entry may next send to a cold instance that bears fewer requests than entries. */
  private final Map<String, Long> turns = new HashMap<>();

  private long usedSince = NEVER;

  /**
   * Creates a guard.
   *
   * @param overshoot the factor on the published rate that must not be passed
   * @param slack the requests in a second that may be added to it
   * @param random spreads the turns of the entries
   */
  public ArrivalGuard(double overshoot, double slack, RandomGenerator random) {
    this.random = random;
    this.overshoot = overshoot;
    this.slack = slack;
  }

  /**
   * Returns whether a request may be sent to an instance now.
   *
   * @param coldPerSecond the rate that a cold instance bears; 0 if there is no bound
   * @param cold whether the instance is known to be cold
   * @param entries the number of entries
   */
  public boolean allows(
      String instance, double coldPerSecond, boolean cold, int entries, long now) {
    if (coldPerSecond <= 0) {
      return true;
    }
    if (usedSince == NEVER) {
      usedSince = now;
    }
    if (cold && entries > coldPerSecond * USED_PART) {
      return isTurn(instance, entries / (coldPerSecond * USED_PART), now);
    }
    turns.remove(instance);
    Deque<Long> times = sends.get(instance);
    if (times == null) {
      return true;
    }
    while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_MILLIS) {
      times.removeFirst();
    }
    double bound = cold ? coldPerSecond : (coldPerSecond * overshoot + slack) * USED_PART;
    double part = now - usedSince < WINDOW_MILLIS ? FIRST_SECOND_PART : 1;
    return times.size() + 1 <= Math.max(1, Math.floor(part * bound / Math.max(1, entries)));
  }

  /**
   * Returns whether it is this entry's turn. The first one comes at a random time within one round,
   * so that the entries do not all begin in the second in which they learn of the instance.
   *
   * @param secondsBetween the time between two requests of one entry
   */
  private boolean isTurn(String instance, double secondsBetween, long now) {
    long round = (long) (secondsBetween * WINDOW_MILLIS);
    long first = now + random.nextLong(round);
    Long turn = turns.putIfAbsent(instance, first);
    Deque<Long> times = sends.get(instance);
    boolean late = times == null || times.isEmpty() || now - times.peekLast() >= round;
    return turn != null && now >= turn && late;
  }

  /** Counts a request that is sent to an instance. */
  public void sent(String instance, long now) {
    sends.computeIfAbsent(instance, i -> new ArrayDeque<>()).addLast(now);
  }

  /** Drops instances without recent requests, and turns that nobody may need any longer. */
  public void prune(long now) {
    turns.values().removeIf(turn -> now - turn >= FORGET_MILLIS);
    sends
        .entrySet()
        .removeIf(
            e ->
                !turns.containsKey(e.getKey())
                    && (e.getValue().isEmpty() || now - e.getValue().peekLast() >= WINDOW_MILLIS));
  }
}
