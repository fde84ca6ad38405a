package org.ebonypond.server.control;

import java.util.Map;
import org.ebonypond.consensus.CommittedEntries;
import org.jspecify.annotations.Nullable;

/**
 * A replica's answer to a {@link ViewPoll}.
 *
 * @param voter whether the replica is a voter of the membership that it gives
 * @param members the identities of the voters by replica name
 * @param membershipIndex the log index of that membership
 * @param durableIndex the index of the replica's last durable entry
 * @param leader the name of the presumed leader, or null
 * @param committed committed entries behind the asked index, perhaps with a snapshot
 * @param digest what only the leader knows, or null on other replicas
 */
public record ViewPollResult(
    boolean voter,
    Map<String, String> members,
    long membershipIndex,
    long durableIndex,
    @Nullable String leader,
    CommittedEntries committed,
    @Nullable LeaderDigest digest) {}
