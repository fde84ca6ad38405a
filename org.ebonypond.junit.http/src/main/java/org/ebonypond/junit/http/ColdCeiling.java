package org.ebonypond.junit.http;

/**
 * The concurrency ceiling of a server that warms up after a start. It rises linearly from {@code
 * cold} to {@code max} during the warm-up.
 *
 * @param cold the ceiling at the start, at least 1
 * @param max the ceiling at the end of the warm-up, at least {@code cold}
 * @param warmMillis the duration of the warm-up in milliseconds
 */
public record ColdCeiling(int cold, int max, long warmMillis) {
  /** Validates the ceilings. */
  public ColdCeiling {
    if (cold < 1 || max < cold || warmMillis < 0) {
      throw new IllegalArgumentException(
          "must have 1 <= cold <= max and a warm-up time of at least 0");
    }
  }

  /**
   * Returns the ceiling. A warm server has none, because it queues what it cannot run at once.
   *
   * @param sinceStart milliseconds since the start
   */
  public int at(long sinceStart) {
    if (sinceStart >= warmMillis) {
      return Integer.MAX_VALUE;
    }
    return cold + (int) ((max - cold) * Math.max(0, sinceStart) / warmMillis);
  }
}
