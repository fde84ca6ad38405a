package org.ebonypond.consensus.internal;

import java.util.random.RandomGenerator;
import org.ebonypond.consensus.RaftConfig;

/** Tracks the last contact with a leader and the time of the next election. */
public final class ElectionTimer {
  private final RaftConfig config;
  private final RandomGenerator random;
  private long deadline;
  private long lastContact;

  /**
   * Starts the timer.
   *
   * @param lastContact the latest possible time of the last leader contact, in milliseconds
   * @param now the time in milliseconds
   */
  public ElectionTimer(RaftConfig config, RandomGenerator random, long lastContact, long now) {
    this.config = config;
    this.random = random;
    this.lastContact = lastContact;
    reset(now);
  }

  /** Starts a new random election timeout. */
  public void reset(long now) {
    deadline = now + random.nextLong(config.electionMinMillis(), config.electionMaxMillis());
  }

  /** Starts a shorter random timeout, for the first election after a start. */
  public void resetSoon(long now) {
    deadline = now + random.nextLong(config.heartbeatMillis(), config.electionMinMillis());
  }

  /** Returns whether the election timeout has expired. */
  public boolean isDue(long now) {
    return now >= deadline;
  }

  /** Records contact with the leader and restarts the election timeout. */
  public void onLeaderContact(long now) {
    lastContact = now;
    reset(now);
  }

  /** Returns whether the last leader contact was within the minimum election timeout. */
  public boolean hasLeaderContact(long now) {
    return now - lastContact < config.electionMinMillis();
  }
}
