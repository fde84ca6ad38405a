package org.ebonypond.admission;

/** Estimates the {@code Retry-After} of a rejection. */
public final class RetryAfter {
  /** The longest time to come back, in seconds; an estimate beyond it is not reliable. */
  public static final int MAX_SECONDS = 60;

  private RetryAfter() {}

  /**
   * Returns the seconds until a wait is over, rounded up, from 1 to {@link #MAX_SECONDS}.
   *
   * @param waitMillis the estimated wait in milliseconds
   */
  public static int seconds(double waitMillis) {
    double s = Math.ceil(waitMillis / 1_000);
    return (int) Math.max(1, Math.min(MAX_SECONDS, s));
  }
}
