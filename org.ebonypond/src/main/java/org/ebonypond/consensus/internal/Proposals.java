package org.ebonypond.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** The pending proposals of a leader and the results of those that have ended. */
public final class Proposals {
  private final NavigableMap<Long, Long> pending = new TreeMap<>();
  private List<ProposalResult> completed = new ArrayList<>();

  /** Adds a proposal that was appended at an index. */
  public void add(long index, long proposalId) {
    pending.put(index, proposalId);
  }

  /** Fails a proposal that was not accepted. */
  public void refuse(long proposalId, @Nullable String leader) {
    completed.add(ProposalResult.failed(proposalId, ErrorCode.NOT_LEADER, leader));
  }

  /** Completes the proposal at an index, if this replica has one there. */
  public void applied(long index, byte[] result) {
    Long id = pending.remove(index);
    if (id != null) {
      completed.add(ProposalResult.applied(id, index, result));
    }
  }

  /** Fails all pending proposals because the replica is no longer the leader. */
  public void abandon(@Nullable String leader) {
    pending
        .values()
        .forEach(id -> completed.add(ProposalResult.failed(id, ErrorCode.OUTCOME_UNKNOWN, leader)));
    pending.clear();
  }

  /** Returns the results of the proposals that have ended since the last call. */
  public List<ProposalResult> drain() {
    List<ProposalResult> ended = completed;
    completed = new ArrayList<>();
    return ended;
  }
}
