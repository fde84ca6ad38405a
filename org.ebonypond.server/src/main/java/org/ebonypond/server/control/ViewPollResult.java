package org.ebonypond.server.control;

import java.util.Map;
import org.ebonypond.consensus.CommittedEntries;
import org.jspecify.annotations.Nullable;

/**
 * A replica's reply to a {@link ViewPoll}.
 *
 * @param voter whether the replica is a voter of {@code members}
 * @param members the identities of the voters by replica name
 * @param membershipIndex the log index of that membership
 * @param durableIndex the index of the replica's last durable log entry
 * @param leader the name of the presumed leader, or null
 * @param committed the committed log entries after the polled index, possibly with a snapshot
 * @param digest the digest of the leader; null from other replicas
 */
public record ViewPollResult(
    boolean voter,
    Map<String, String> members,
    long membershipIndex,
    long durableIndex,
    @Nullable String leader,
    CommittedEntries committed,
    @Nullable LeaderDigest digest) {}
