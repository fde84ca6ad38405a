package org.ebonypond.lease;

/**
 * The ceiling of a starting backend server: its limit of concurrent requests over all entries,
 * which rises linearly until the server is warm.
 *
 * @param coldCeiling the ceiling when the server becomes ready
 * @param maxConcurrency the ceiling once the server is warm
 * @param warmMillis the time from ready until warm, in milliseconds
 * @param readyMillis when the leader learned that the server is ready, on the leader's clock
 */
public record CeilingRamp(int coldCeiling, int maxConcurrency, long warmMillis, long readyMillis) {
  /** Returns the ceiling at a time; it never decreases while the server stays up. */
  public int at(long nowMillis) {
    long age = Math.max(0, nowMillis - readyMillis);
    if (age >= warmMillis) {
      return maxConcurrency;
    }
    return (int) (coldCeiling + (maxConcurrency - coldCeiling) * age / warmMillis);
  }

  /** Returns whether the server has reached its full concurrency, so that no shares are needed. */
  public boolean isWarm(long nowMillis) {
    return nowMillis - readyMillis >= warmMillis;
  }
}
