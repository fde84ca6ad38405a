package org.ebonypond.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The turns of this entry at instances that accept a limited rate of requests from all entries
 * together. Each entry has an equal share of the rate, which is often far below one request a
 * second. Its turns are evenly spaced and start at a random time, so that the turns of all entries
 * are spread over time without communication. A turn that is not used in time is lost: if entries
 * saved their turns, a burst of requests could use those of all entries at once.
 */
public final class EntryTurns {
  /**
   * The fraction of the limit that is used; the rest is a margin for turns of different entries
   * that happen to be close to each other.
   */
  private static final double USED_FRACTION = 0.8;

  /**
   * How long a turn may be used, in milliseconds. A second of turns fits into the margin of a limit
   * that is given per second.
   */
  static final long VALID_MILLIS = 1_000;

  /**
   * The lowest limit that is applied, in requests a second. An instance that accepts none still
   * gets a request now and then, because only its answers tell that the limit has ended.
   */
  static final double MIN_PER_SECOND = 0.1;

  /** Limits above this rate, in requests a second, exceed what any instance can serve. */
  static final double MAX_PER_SECOND = 100_000;

  private final RandomGenerator random;
  private final Map<String, Turns> turnsByInstance = new HashMap<>();

  /**
   * Creates turns for no instance.
   *
   * @param random distributes the first turns of the entries over time
   */
  public EntryTurns(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether this entry may send a request to an instance now.
   *
   * @param perSecond the requests a second that the instance accepts; infinite if it has no limit
   * @param entries the number of entries
   */
  public boolean isTurn(String instance, double perSecond, int entries, long now) {
    if (perSecond > MAX_PER_SECOND) {
      turnsByInstance.remove(instance);
      return true;
    }
    double share = USED_FRACTION * Math.max(MIN_PER_SECOND, perSecond) / Math.max(1, entries);
    return turnsByInstance
        .computeIfAbsent(instance, i -> new Turns(random.nextDouble(), now))
        .isAvailable(share, now);
  }

  /** Records that a request is sent to an instance, which uses a turn if its rate is limited. */
  public void sent(String instance) {
    Turns t = turnsByInstance.get(instance);
    if (t != null) {
      t.use();
    }
  }

  /** Forgets the turns at instances that do not exist any more. */
  public void retain(Predicate<String> exists) {
    turnsByInstance.keySet().removeIf(exists.negate());
  }

  /** Returns the number of instances at which this entry takes turns. */
  int size() {
    return turnsByInstance.size();
  }

  /** The numbered turns at one instance. */
  private static final class Turns {
    /** The number of turns so far, with the elapsed fraction of the time until the next one. */
    private double position;

    private long updatedAt;
    private long lastUsed;

    /** The oldest turn that is still valid. */
    private long oldest = 1;

    Turns(double position, long now) {
      this.position = position;
      this.updatedAt = now;
    }

    boolean isAvailable(double perSecond, long now) {
      position += (now - updatedAt) * perSecond / 1_000;
      updatedAt = now;
      oldest = (long) Math.floor(position - VALID_MILLIS * perSecond / 1_000) + 1;
      return next() <= (long) Math.floor(position);
    }

    private long next() {
      return Math.max(lastUsed + 1, oldest);
    }

    void use() {
      lastUsed = next();
    }
  }
}
