package org.ebonypond.consensus;

/** The role of a replica in its group. */
public enum RaftRole {
  /** Receives the log and does not vote. */
  LEARNER,
  FOLLOWER,
  /** Asks whether an election could succeed, without raising its term. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
