package org.ebonypond.lease;

/**
 * The most requests that a starting backend server takes at once, over all entries.
 *
 * @param coldCeiling the ceiling at readiness
 * @param maxConcurrency the ceiling once warm
 * @param warmMillis the time from readiness until warm, in milliseconds
 * @param readyMillis the leader's time at which it learned of the readiness
 */
public record CeilingRamp(int coldCeiling, int maxConcurrency, long warmMillis, long readyMillis) {
  /** Returns the ceiling; it never falls while the server stays up. */
  public int at(long nowMillis) {
    long age = Math.max(0, nowMillis - readyMillis);
    if (age >= warmMillis) {
      return maxConcurrency;
    }
    return (int) (coldCeiling + (maxConcurrency - coldCeiling) * age / warmMillis);
  }

  /** Returns whether the server takes its full concurrency, so that no shares are needed. */
  public boolean isWarm(long nowMillis) {
    return nowMillis - readyMillis >= warmMillis;
  }
}
