package org.ebonypond.junit;

import java.util.Random;
import org.ebonypond.time.TimerService;

/**
 * Seeded message faults: loss, delay and duplication. By default, each message arrives once, after
 * 1 to 5 ms.
 */
public final class Faults {
  private static final int MAX_FAST_MILLIS = 5;

  private final TimerService timers;
  private final Random random;
  private double lossRate;
  private double duplicateRate;
  private double slowRate;
  private int maxSlowMillis = 1;

  /**
   * Creates the faults.
   *
   * @param timers the timers that deliver the messages
   * @param random the seeded source of all choices
   */
  public Faults(TimerService timers, Random random) {
    this.timers = timers;
    this.random = random;
  }

  /**
   * Sets the rates of faults, each from 0 to 1.
   *
   * @param loss the fraction of messages that are lost
   * @param duplicated the fraction of messages that arrive twice
   * @param slow the fraction of messages that take up to {@code maxMillis}
   * @param maxMillis the maximum delay of slow messages, in milliseconds
   */
  public void set(double loss, double duplicated, double slow, int maxMillis) {
    lossRate = loss;
    duplicateRate = duplicated;
    slowRate = slow;
    maxSlowMillis = maxMillis;
  }

  /** Ends all faults for later messages. */
  public void clear() {
    set(0, 0, 0, 1);
  }

  /** Runs the delivery of a message zero, one or two times, each after a delay. */
  public void deliver(Runnable delivery) {
    if (occurs(lossRate)) {
      return;
    }
    timers.after(delay(), delivery);
    if (occurs(duplicateRate)) {
      timers.after(delay(), delivery);
    }
  }

  /** Returns true with a probability from 0 to 1. */
  public boolean occurs(double rate) {
    return random.nextDouble() < rate;
  }

  /** Returns a random message delay in milliseconds. */
  public long delay() {
    return 1 + random.nextInt(occurs(slowRate) ? maxSlowMillis : MAX_FAST_MILLIS);
  }
}
