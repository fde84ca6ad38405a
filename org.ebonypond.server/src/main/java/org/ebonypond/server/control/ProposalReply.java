package org.ebonypond.server.control;

import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * A replica's reply to a proposal.
 *
 * @param index the log index of the command; 0 if the proposal failed
 * @param result the result of the state machine; empty if the proposal failed
 * @param failure null if the command was applied; {@code NOT_LEADER} if it was not accepted; {@code
 *     OUTCOME_UNKNOWN} if it may still be committed
 * @param leader the name of the presumed leader, or null
 */
public record ProposalReply(
    long index, byte[] result, @Nullable ErrorCode failure, @Nullable String leader) {}
