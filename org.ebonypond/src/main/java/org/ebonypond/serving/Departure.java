package org.ebonypond.serving;

/**
 * The announcement of an instance that it leaves.
 *
 * @param id the identifier of the instance
 * @param startMillis the time of its start, in milliseconds since 1970; the departure concerns this
 *     and earlier incarnations
 * @param sequence the number of the heartbeat with which it began to drain; {@link #DEREGISTERED}
 *     if it has deregistered
 */
public record Departure(String id, long startMillis, long sequence) {
  /** Later than every heartbeat. */
  private static final long DEREGISTERED = Long.MAX_VALUE;

  /** Returns the departure of an instance that has deregistered. */
  public static Departure deregistered(String id, long startMillis) {
    return new Departure(id, startMillis, DEREGISTERED);
  }

  /** Returns whether the instance has deregistered; otherwise it drains. */
  public boolean isDeregistered() {
    return sequence == DEREGISTERED;
  }

  /** Returns whether this departure is later than another one of the same identifier. */
  public boolean isLaterThan(Departure other) {
    return startMillis != other.startMillis
        ? startMillis > other.startMillis
        : sequence > other.sequence;
  }
}
