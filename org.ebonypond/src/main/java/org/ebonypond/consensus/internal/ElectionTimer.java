package org.ebonypond.consensus.internal;

import java.util.random.RandomGenerator;
import org.ebonypond.consensus.RaftConfig;

/** When a replica last heard from a leader, and when it starts an election. */
public final class ElectionTimer {
  private final RaftConfig config;
  private final RandomGenerator random;
  private long deadline;
  private long lastContact;

  /**
   * Starts the timer.
   *
   * @param lastContact the time at which a leader may have been in contact last, in milliseconds
   * @param now the time in milliseconds
   */
  public ElectionTimer(RaftConfig config, RandomGenerator random, long lastContact, long now) {
    this.config = config;
    this.random = random;
    this.lastContact = lastContact;
    reset(now);
  }

  /** Draws a new election timeout that starts now. */
  public void reset(long now) {
    deadline = now + random.nextLong(config.electionMinMillis(), config.electionMaxMillis());
  }

  /** Draws a shorter timeout for the first election after a start. */
  public void resetSoon(long now) {
    deadline = now + random.nextLong(config.heartbeatMillis(), config.electionMinMillis());
  }

  /** Returns whether the election timeout is over. */
  public boolean isDue(long now) {
    return now >= deadline;
  }

  /** Notes a message of the leader. */
  public void leaderContact(long now) {
    lastContact = now;
    reset(now);
  }

  /** Returns whether a leader was in contact within the shortest election timeout. */
  public boolean hearsLeader(long now) {
    return now - lastContact < config.electionMinMillis();
  }
}
