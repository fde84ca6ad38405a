package org.ebonypond.junit;

import java.util.Random;
import org.ebonypond.time.TimerService;

/**
 * Seeded faults of messages: loss, delay and doubling. Without a rate set, each message arrives
 * once after 1 to 5 ms.
 */
public final class Faults {
  private static final int FAST_MILLIS = 5;

  private final TimerService timers;
  private final Random random;
  private double lossRate;
  private double doubleRate;
  private double slowRate;
  private int slowMillis = 1;

  /**
   * Creates the faults.
   *
   * @param timers the timers that carry the messages
   * @param random the seeded source of all choices
   */
  public Faults(TimerService timers, Random random) {
    this.timers = timers;
    this.random = random;
  }

  /**
   * Sets the rates of faults, each from 0 to 1.
   *
   * @param loss the part of messages that are lost
   * @param doubled the part of messages that arrive twice
   * @param slow the part of messages that take up to {@code maxMillis}
   * @param maxMillis the longest delay, in milliseconds
   */
  public void set(double loss, double doubled, double slow, int maxMillis) {
    lossRate = loss;
    doubleRate = doubled;
    slowRate = slow;
    slowMillis = maxMillis;
  }

  /** Ends all faults of later messages. */
  public void clear() {
    set(0, 0, 0, 1);
  }

  /** Carries one message: runs the delivery never, once or twice, after a delay. */
  public void deliver(Runnable delivery) {
    if (occurs(lossRate)) {
      return;
    }
    timers.after(delay(), delivery);
    if (occurs(doubleRate)) {
      timers.after(delay(), delivery);
    }
  }

  /** Returns true in a part of the calls. */
  public boolean occurs(double rate) {
    return random.nextDouble() < rate;
  }

  /** Returns a delay in milliseconds. */
  public long delay() {
    return 1 + random.nextInt(occurs(slowRate) ? slowMillis : FAST_MILLIS);
  }
}
