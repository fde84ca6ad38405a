package org.ebonypond.consensus;

import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * The result of a proposal.
 *
 * @param proposalId the identifier that the proposer chose
 * @param index the log index of the command; 0 if the proposal failed
 * @param result the result of the state machine; empty if the proposal failed
 * @param failure null if the command was committed and applied; {@code NOT_LEADER} if the command
 *     was not accepted; {@code OUTCOME_UNKNOWN} if the replica lost its leadership before it
 *     applied the command, which may still be committed
 * @param leaderHint the name of the presumed leader, or null
 */
public record ProposalResult(
    long proposalId,
    long index,
    byte[] result,
    @Nullable ErrorCode failure,
    @Nullable String leaderHint) {
  private static final byte[] NO_DATA = {};

  /** Returns the result of an applied command. */
  public static ProposalResult applied(long proposalId, long index, byte[] result) {
    return new ProposalResult(proposalId, index, result, null, null);
  }

  /** Returns the result of a proposal that failed. */
  public static ProposalResult failed(long proposalId, ErrorCode code, @Nullable String leader) {
    return new ProposalResult(proposalId, 0, NO_DATA, code, leader);
  }
}
