package org.ebonypond.time;

import java.util.function.LongSupplier;

/**
 * Detects that the process was suspended together with its steady clock, as when its machine is
 * paused. Whatever was known by the steady clock before that may be older than it looks: leases and
 * confirmations from before {@link #resumedAt} are void.
 *
 * <p>The time of day continues during a suspension, so it then runs ahead of the steady clock. A
 * step of the time of day forward looks the same and only makes a process confirm again what it
 * knows. A step backward during a suspension hides as much of the suspension as it is long.
 * Thread-safe.
 */
public final class SuspensionDetector {
  /**
   * The shortest suspension that is detected, in milliseconds: far above the resolution of both
   * clocks, and below the reserve of the shortest lease, which is a tenth of an election timeout of
   * 500 ms.
   */
  public static final long MIN_SUSPENSION_MILLIS = 40;

  /** The interval at which a process should look at least, in milliseconds. */
  public static final long LOOK_MILLIS = 1_000;

  /**
   * The time in which the time of day may gain 1 ms on the steady clock without a suspension, in
   * milliseconds; it is corrected by at most 0.05%.
   */
  private static final long MILLIS_PER_CORRECTION = 1_000;

  /** The number of further readings before a difference counts as a suspension. */
  private static final int CONFIRMING_READINGS = 2;

  private final TimerService timers;
  private final LongSupplier wallMillis;
  private final Listener listener;
  private long expectedLead;
  private long expectedAt;
  private long resumedAt = Long.MIN_VALUE;

  /** Receives each suspension once. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called when the process notices that it was suspended.
     *
     * @param suspendedMillis the duration in milliseconds
     */
    void resumed(long suspendedMillis);
  }

  /**
   * Creates a detector; the process was not suspended before.
   *
   * @param timers provides the steady clock
   * @param wallMillis the time of day, in milliseconds
   * @param listener receives the suspensions, on the thread that notices them; must not block
   */
  public SuspensionDetector(TimerService timers, LongSupplier wallMillis, Listener listener) {
    this.timers = timers;
    this.wallMillis = wallMillis;
    this.listener = listener;
    this.expectedAt = timers.nowMillis();
    this.expectedLead = wallMillis.getAsLong() - expectedAt;
  }

  /**
   * Looks at both clocks and returns when the process last noticed that it had been suspended, in
   * milliseconds of the timer service; {@code Long.MIN_VALUE} if it never was. Must be called
   * immediately before each decision that depends on the age of something: after a suspension, an
   * event loop may read a socket before any timer fires.
   */
  public synchronized long resumedAt() {
    long steady = timers.nowMillis();
    long lead = wallMillis.getAsLong() - steady;
    // A thread that loses the processor between both readings sees a lead that does not last.
    for (int i = 0; i < CONFIRMING_READINGS && isSuspension(lead); i++) {
      steady = timers.nowMillis();
      lead = Math.min(lead, wallMillis.getAsLong() - steady);
    }
    boolean suspended = isSuspension(lead);
    long suspendedMillis = lead - expectedLead;
    expect(lead, steady, suspended);
    if (suspended) {
      resumedAt = steady;
      listener.resumed(suspendedMillis);
    }
    return resumedAt;
  }

  /** Updates the expected lead. A smaller rise is kept, so that short suspensions add up. */
  private void expect(long lead, long steady, boolean suspended) {
    long corrections = (steady - expectedAt) / MILLIS_PER_CORRECTION;
    expectedAt += corrections * MILLIS_PER_CORRECTION;
    expectedLead = suspended ? lead : Math.min(lead, expectedLead + corrections);
  }

  private boolean isSuspension(long lead) {
    return lead - expectedLead >= MIN_SUSPENSION_MILLIS;
  }
}
