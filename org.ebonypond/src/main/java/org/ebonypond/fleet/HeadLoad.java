package org.ebonypond.fleet;

/**
 * The work that one process, or several together, have under way at an instance.
 *
 * @param instance the identifier of the instance
 * @param active the requests that are in flight
 * @param prefillTokens the prompt tokens of requests that have not had their first event
 * @param idleMillis the time since the last progress of any of these requests, in milliseconds
 */
public record HeadLoad(String instance, int active, int prefillTokens, long idleMillis) {
  /** Returns the sum of two loads of the same instance; the shortest idle time counts. */
  public HeadLoad plus(HeadLoad o) {
    return new HeadLoad(
        instance,
        active + o.active,
        prefillTokens + o.prefillTokens,
        Math.min(idleMillis, o.idleMillis));
  }
}
