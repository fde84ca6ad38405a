package org.ebonypond.consensus;

/** The role of a replica in its Raft group. */
public enum RaftRole {
  /** Receives the log but does not vote. */
  LEARNER,
  FOLLOWER,
  /** Asks whether it could win an election, without increasing its term. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
