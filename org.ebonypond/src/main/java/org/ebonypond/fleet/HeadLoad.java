package org.ebonypond.fleet;

/**
 * The work that one process, or several together, have under way at an instance.
 *
 * @param instance the identifier of the instance
 * @param epoch the epoch of the group that the instance leads; 0 if it leads none
 * @param active the requests that are in flight
 * @param prefillTokens the prompt tokens of requests that have not had their first event
 * @param idleMillis the time since the last progress of any of these requests, in milliseconds;
 *     {@link #NEVER} if there are none
 * @param suspectMillis the time since a process turned away from the instance because requests
 *     failed or made no progress there; 0 if none has
 */
public record HeadLoad(
    String instance,
    long epoch,
    int active,
    int prefillTokens,
    long idleMillis,
    long suspectMillis) {
  /** The idle time of an instance without requests. */
  public static final long NEVER = Long.MAX_VALUE;

  /** Requests are in progress if there was an event within this time, in milliseconds. */
  private static final long PROGRESS_MILLIS = 300;

  /**
   * Returns the sum of two loads of the same instance. What is said of an earlier group that it led
   * does not count.
   */
  public HeadLoad plus(HeadLoad o) {
    if (epoch != o.epoch) {
      return epoch > o.epoch ? this : o;
    }
    return new HeadLoad(
        instance,
        epoch,
        active + o.active,
        prefillTokens + o.prefillTokens,
        Math.min(idleMillis, o.idleMillis),
        Math.max(suspectMillis, o.suspectMillis));
  }

  /**
   * Returns the time for which no process has seen progress although one has turned away, or 0. An
   * instance that is cut off from some processes but serves others is not stalled.
   */
  public long stalledMillis() {
    if (idleMillis < PROGRESS_MILLIS) {
      return 0;
    }
    long idle = idleMillis == NEVER ? 0 : idleMillis;
    return Math.max(suspectMillis, idle);
  }

  /** Returns whether any process has seen progress lately. */
  public boolean progresses() {
    return idleMillis < PROGRESS_MILLIS;
  }
}
