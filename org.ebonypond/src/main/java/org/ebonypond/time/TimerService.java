package org.ebonypond.time;

/** The source of monotonic time and timers of a process. Implementations are thread-safe. */
public interface TimerService {
  /** Returns the monotonic time in milliseconds; only differences are meaningful. */
  long nowMillis();

  /**
   * Runs a task once.
   *
   * @param delayMillis the delay in milliseconds, not negative
   * @param task the task; must not block
   * @return the subscription, to cancel the task
   */
  Subscription after(long delayMillis, Runnable task);

  /**
   * Runs a task repeatedly.
   *
   * @param periodMillis the period in milliseconds, positive
   * @param task the task; must not block
   * @return the subscription, to cancel the task
   */
  Subscription every(long periodMillis, Runnable task);

  /** A handle to a scheduled task. */
  interface Subscription {
    /** Cancels future runs of the task; has no effect if there are none. */
    void cancel();
  }
}
