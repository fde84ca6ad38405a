package org.ebonypond.fleet;

/**
 * The load that one process, or the sum of several, puts on an instance.
 *
 * @param instance the identifier of the instance
 * @param epoch the epoch of the group whose head the instance is; 0 if it is no head
 * @param active the number of requests in flight
 * @param prefillTokens the prompt tokens of the requests that have not produced their first event
 * @param idleMillis the time since the last progress of any of these requests, in milliseconds;
 *     {@link #NEVER} if there are none
 * @param failingMillis the time since the first failure there after the last progress, in
 *     milliseconds, the longest over the processes; 0 if there is none
 */
public record InstanceLoad(
    String instance,
    long epoch,
    int active,
    int prefillTokens,
    long idleMillis,
    long failingMillis) {
  /** The idle time if there are no requests. */
  public static final long NEVER = Long.MAX_VALUE;

  /** An event within this time counts as progress, in milliseconds. */
  private static final long PROGRESS_MILLIS = 300;

  /**
   * Returns the sum of two loads of the same instance. If the epochs differ, the load of the
   * earlier one is ignored.
   */
  public InstanceLoad plus(InstanceLoad o) {
    if (epoch != o.epoch) {
      return epoch > o.epoch ? this : o;
    }
    return new InstanceLoad(
        instance,
        epoch,
        active + o.active,
        prefillTokens + o.prefillTokens,
        Math.min(idleMillis, o.idleMillis),
        Math.max(failingMillis, o.failingMillis));
  }

  /**
   * Returns how long the instance has been stalled, in milliseconds: the time without progress or
   * the longest time that a process has seen it failing, whichever is longer; 0 if any process has
   * seen recent progress. An instance that is unreachable for some processes but serves others is
   * not stalled.
   */
  public long stalledMillis() {
    if (idleMillis < PROGRESS_MILLIS) {
      return 0;
    }
    long idle = idleMillis == NEVER ? 0 : idleMillis;
    return Math.max(failingMillis, idle);
  }

  /**
   * Returns this load as a process reports it that cannot reach the instance by itself: that its
   * requests fail or make no progress says nothing of the instance.
   */
  public InstanceLoad ofUnreachable() {
    return new InstanceLoad(
        instance,
        epoch,
        active,
        prefillTokens,
        idleMillis < PROGRESS_MILLIS ? idleMillis : NEVER,
        0);
  }

  /** Returns whether any process has seen recent progress. */
  public boolean hasProgress() {
    return idleMillis < PROGRESS_MILLIS;
  }
}
