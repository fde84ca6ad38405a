package org.ebonypond.junit.http;

/**
 * The number of requests that a server sustains after a start.
 *
 * @param cold the ceiling at the start
 * @param max the ceiling at the end of the warm time
 * @param warmMillis the warm time in milliseconds
 */
public record ColdCeiling(int cold, int max, long warmMillis) {
  /** Checks the numbers. */
  public ColdCeiling {
    if (cold < 1 || max < cold || warmMillis < 0) {
      throw new IllegalArgumentException("use 1 <= cold <= max and a warm time from 0");
    }
  }

  /**
   * Returns the ceiling. A warm server has none: it queues what it cannot run at once.
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
