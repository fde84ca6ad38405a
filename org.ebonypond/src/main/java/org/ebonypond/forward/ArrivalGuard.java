package org.ebonypond.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Limits the requests that this entry sends to one instance in any second. An instance can turn
 * cold without notice and then accepts only a few requests per second from all entries together, so
 * each entry always stays within its share of that rate.
 */
public final class ArrivalGuard {
  private static final long WINDOW_MILLIS = 1_000;

  /**
   * The fraction of the limit that is used; the rest is a margin for requests that arrive later
   * than they were sent.
   */
  private static final double USED_FRACTION = 0.9;

  /**
   * The fraction of its share that an entry uses in the first second of its process, since it may
   * have used the share just before a restart.
   */
  private static final double FIRST_SECOND_FRACTION = 0.5;

  /**
   * The time in milliseconds after which a turn is removed. It exceeds the time that any instance
   * stays cold; if one is still cold, a new turn is assigned.
   */
  private static final long TURN_TTL_MILLIS = 60_000;

  private final double overshoot;
  private final double slack;
  private final RandomGenerator random;
  private final long startMillis;
  private final Map<String, Deque<Long>> sends = new HashMap<>();

  /**
   * When this entry may first send to a cold instance that accepts fewer requests per second than
   * there are entries.
   */
  private final Map<String, Long> turns = new HashMap<>();

  /**
   * Creates a guard without recorded requests.
   *
   * @param overshoot the maximum rate as a factor of the published rate
   * @param slack the requests per second allowed in addition
   * @param random distributes the turns of the entries over time
   * @param startMillis the time at which the process started, in milliseconds
   */
  public ArrivalGuard(double overshoot, double slack, RandomGenerator random, long startMillis) {
    this.random = random;
    this.startMillis = startMillis;
    this.overshoot = overshoot;
    this.slack = slack;
  }

  /**
   * Returns whether a request may be sent to an instance now.
   *
   * @param coldPerSecond the requests per second that a cold instance accepts; 0 if there is no
   *     limit
   * @param cold whether the instance is known to be cold
   * @param entries the number of entries
   * @param now the time in milliseconds
   */
  public boolean allows(
      String instance, double coldPerSecond, boolean cold, int entries, long now) {
    if (coldPerSecond <= 0) {
      return true;
    }
    if (cold && entries > coldPerSecond * USED_FRACTION) {
      return isTurn(instance, entries / (coldPerSecond * USED_FRACTION), now);
    }
    turns.remove(instance);
    Deque<Long> times = sends.get(instance);
    if (times == null) {
      return true;
    }
    while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_MILLIS) {
      times.removeFirst();
    }
    double bound = cold ? coldPerSecond : (coldPerSecond * overshoot + slack) * USED_FRACTION;
    double fraction = now - startMillis < WINDOW_MILLIS ? FIRST_SECOND_FRACTION : 1;
    return times.size() + 1 <= Math.max(1, Math.floor(fraction * bound / Math.max(1, entries)));
  }

  /**
   * Returns whether it is this entry's turn to send. The first turn comes at a random time within
   * one such interval, so that the entries do not all start in the second in which they discover
   * the instance.
   *
   * @param secondsBetween the time between two requests of one entry, in seconds
   */
  private boolean isTurn(String instance, double secondsBetween, long now) {
    long intervalMillis = (long) (secondsBetween * WINDOW_MILLIS);
    long first = now + random.nextLong(intervalMillis);
    Long turn = turns.putIfAbsent(instance, first);
    Deque<Long> times = sends.get(instance);
    boolean intervalPassed =
        times == null || times.isEmpty() || now - times.peekLast() >= intervalMillis;
    return turn != null && now >= turn && intervalPassed;
  }

  /** Records a request that is sent to an instance. */
  public void sent(String instance, long now) {
    sends.computeIfAbsent(instance, i -> new ArrayDeque<>()).addLast(now);
  }

  /** Removes expired turns, and the records of instances without recent requests. */
  public void prune(long now) {
    turns.values().removeIf(turn -> now - turn >= TURN_TTL_MILLIS);
    sends
        .entrySet()
        .removeIf(
            e ->
                !turns.containsKey(e.getKey())
                    && (e.getValue().isEmpty() || now - e.getValue().peekLast() >= WINDOW_MILLIS));
  }
}
