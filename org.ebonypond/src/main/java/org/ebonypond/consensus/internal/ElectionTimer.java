package org.ebonypond.consensus.internal;

import java.util.random.RandomGenerator;
import org.ebonypond.consensus.RaftConfig;

/** Tracks the last contact with a leader and the time of the next election. */
public final class ElectionTimer {
  /** The election timeout is doubled at most this often: to eight times its settings. */
  private static final int MAX_DOUBLINGS = 3;

  private final RaftConfig config;
  private final RandomGenerator random;
  private long deadline;
  private long lastContact;
  private int lostElections;
  private long repeatAt;

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

  /**
   * Starts the timeout of a candidate. It is doubled after each election that this replica has not
   * won since it last had contact with a leader: replicas on a busy processor may answer later than
   * a timeout that suits them at other times, and would never elect a leader.
   */
  public void resetForCandidate(long now) {
    long factor = 1L << Math.min(lostElections, MAX_DOUBLINGS);
    deadline =
        now
            + random.nextLong(
                factor * config.electionMinMillis(), factor * config.electionMaxMillis());
    resetRepeat(now);
  }

  /** Starts the time after which a candidate asks those again that have not answered. */
  public void resetRepeat(long now) {
    repeatAt = now + config.electionMaxMillis();
  }

  /** Returns whether a candidate should ask those again that have not answered. */
  public boolean isRepeatDue(long now) {
    return now >= repeatAt;
  }

  /** Records that a candidate's timeout has expired before it won. */
  public void onElectionLost() {
    lostElections++;
  }

  /** Records that this replica has won an election. */
  public void onElectionWon() {
    lostElections = 0;
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
    lostElections = 0;
    reset(now);
  }

  /** Returns whether the last leader contact was within the minimum election timeout. */
  public boolean hasLeaderContact(long now) {
    return now - lastContact < config.electionMinMillis();
  }
}
