package org.ebonypond.server.replica;

import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftRole;
import org.jspecify.annotations.Nullable;

/**
 * The status of a replica after a round of its driver.
 *
 * @param role the role
 * @param term the term
 * @param leader the name of the presumed leader, or null
 * @param voter whether the replica is a voter in its latest membership
 * @param lastDurableIndex the index of the last durable log entry
 * @param commitIndex the index of the last log entry that is known to be committed
 * @param appliedIndex the index of the last applied log entry
 * @param leaseHeldUntil the monotonic time in milliseconds until which the replica may act as the
 *     leader; {@code Long.MIN_VALUE} if it may not
 * @param confirmedAt the latest monotonic time in milliseconds at which the replica was certainly
 *     the only leader, see {@link RaftNode#confirmedAt}
 */
public record ReplicaStatus(
    RaftRole role,
    long term,
    @Nullable String leader,
    boolean voter,
    long lastDurableIndex,
    long commitIndex,
    long appliedIndex,
    long leaseHeldUntil,
    long confirmedAt) {
  static ReplicaStatus of(RaftNode n) {
    return new ReplicaStatus(
        n.role(),
        n.term(),
        n.leaderHint(),
        n.isVoter(),
        n.lastDurableIndex(),
        n.commitIndex(),
        n.appliedIndex(),
        n.leaseHeldUntil(),
        n.confirmedAt());
  }

  /**
   * Returns the status of a process that was suspended.
   *
   * @param resumedAt the time from which on the replica knows whether it leads, see {@link
   *     org.ebonypond.time.SuspensionDetector}
   */
  ReplicaStatus afterSuspension(long resumedAt) {
    return confirmedAt > resumedAt ? this : unconfirmed();
  }

  private ReplicaStatus unconfirmed() {
    return new ReplicaStatus(
        role,
        term,
        leader,
        voter,
        lastDurableIndex,
        commitIndex,
        appliedIndex,
        Long.MIN_VALUE,
        Long.MIN_VALUE);
  }

  /** Returns the status after the replica has stopped: it neither leads nor votes. */
  ReplicaStatus ended() {
    return new ReplicaStatus(
        RaftRole.LEARNER,
        term,
        null,
        false,
        lastDurableIndex,
        commitIndex,
        appliedIndex,
        Long.MIN_VALUE,
        Long.MIN_VALUE);
  }

  /** Returns whether the replica may act as the leader at a time. */
  public boolean mayLead(long nowMillis) {
    return nowMillis < leaseHeldUntil;
  }
}
