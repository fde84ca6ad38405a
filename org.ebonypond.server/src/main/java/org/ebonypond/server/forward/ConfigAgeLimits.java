package org.ebonypond.server.forward;

/**
 * What an entry may do by a configuration that may be an old one.
 *
 * @param confirmedMillis how long ago the configuration may have been the newest one for a refusal
 *     that the caller takes as final, in milliseconds; a request may wait as long for a
 *     confirmation
 * @param replacedMillis how long an entry may serve by a configuration after it has learned that a
 *     newer one is committed, or that no replica has confirmed since the entry started, in
 *     milliseconds
 * @param leaderlessMillis how long an entry may serve by a configuration that no replica confirms
 *     any more, although replicas that reach a majority answer it, in milliseconds
 */
public record ConfigAgeLimits(long confirmedMillis, long replacedMillis, long leaderlessMillis) {
  /**
   * The part of the time for a change that may have passed since the configuration was the newest
   * one, as a divisor; the rest is for the wait of a request until the next answer of a replica.
   */
  private static final int CONFIRMED_DIVISOR = 2;

  /**
   * Returns the limits for a deployment.
   *
   * @param applyMillis the time within which a committed configuration must be in force, in
   *     milliseconds
   * @param contactMillis the time after which processes that reach each other again must act by
   *     what is committed, in milliseconds
   */
  public static ConfigAgeLimits of(long applyMillis, long contactMillis) {
    return new ConfigAgeLimits(applyMillis / CONFIRMED_DIVISOR, applyMillis, contactMillis);
  }
}
