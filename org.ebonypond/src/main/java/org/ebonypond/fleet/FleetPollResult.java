package org.ebonypond.fleet;

import java.util.List;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a {@link FleetPoll}.
 *
 * @param boot identifies the start of the answering replica
 * @param cursor the position to ask from next time
 * @param version the version of the configuration that the replica holds
 * @param zonesIndex the log index of the zones out of service that the replica holds
 * @param ready whether the replica hears of a majority of the replicas and has had time to learn
 *     the fleet, so that it can be an entry's home
 * @param state the newer configuration and zones, or null if there are none or none were wanted;
 *     the content is empty if only the zones are newer
 * @param instances the records that changed; empty unless the asker is at home here
 * @param unchanged the instances whose heartbeats brought nothing new, for a replica that asks
 * @param loads the work of all other entries, by instance; null unless the asker is at home here
 * @param entries the number of entries that polled lately
 * @param pauseMillis the time after which an entry that is at home here may poll again, in
 *     milliseconds, so that the entries share what the replica can answer
 * @param replicas the addresses of the control replicas that the answering one knows
 * @param leader the address of the presumed leader, or null
 */
public record FleetPollResult(
    long boot,
    long cursor,
    long version,
    long zonesIndex,
    boolean ready,
    ServingState.@Nullable Committed state,
    List<InstanceUpdate> instances,
    List<UnchangedHeartbeat> unchanged,
    @Nullable List<HeadLoad> loads,
    int entries,
    long pauseMillis,
    List<String> replicas,
    @Nullable String leader) {}
