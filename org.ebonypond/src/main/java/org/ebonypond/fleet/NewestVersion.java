package org.ebonypond.fleet;

/**
 * The newest version of the configuration at some time, as a process knows it. The leader of the
 * log knows it by itself; other processes learn it from answers to their polls. An answer tells how
 * old its knowledge is, and the time of the poll, not that of the answer, is the time on the clock
 * of the receiver: an answer that was delayed does not look newer than it is. Not thread-safe.
 */
public final class NewestVersion {
  private long version;
  private long at = Long.MIN_VALUE;

  /**
   * Records what a process knows.
   *
   * @param known the newest version at that time
   * @param time the time in milliseconds; {@code Long.MIN_VALUE} if the process does not know
   */
  public void record(long known, long time) {
    if (time > at) {
      version = known;
      at = time;
    }
  }

  /** Records an answer to a poll that was sent at a time, in milliseconds. */
  public void record(FleetPollResult r, long sentAt) {
    if (r.stateAgeMillis() != FleetPollResult.UNCONFIRMED) {
      record(r.version(), sentAt - r.stateAgeMillis());
    }
  }

  /**
   * Returns the latest time at which a version was known to be the newest, in milliseconds; {@code
   * Long.MIN_VALUE} if it never was or if a newer one is known.
   */
  public long confirmedAt(long held) {
    return held >= version ? at : Long.MIN_VALUE;
  }
}
