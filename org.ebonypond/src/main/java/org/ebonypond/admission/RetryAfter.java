package org.ebonypond.admission;

/** Computes the {@code Retry-After} value of a refusal. */
public final class RetryAfter {
  /** The maximum value in seconds; longer estimates are not reliable. */
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
