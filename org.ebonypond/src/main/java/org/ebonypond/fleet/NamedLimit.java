package org.ebonypond.fleet;

/**
 * The rate of requests that an instance says it accepts, as one process observed it.
 *
 * @param instance the identifier of the instance
 * @param startMillis when the instance started, in milliseconds since 1970
 * @param perSecond the requests a second from all entries together; infinite if the instance names
 *     no limit any more
 * @param ageMillis the time since the answer that named it, in milliseconds
 */
public record NamedLimit(String instance, long startMillis, double perSecond, long ageMillis) {
  /** Returns whether the instance names no limit any more. */
  public boolean isEnded() {
    return perSecond == Double.POSITIVE_INFINITY;
  }
}
