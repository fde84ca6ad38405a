package org.ebonypond.fleet;

import java.util.List;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a {@link FleetPoll}.
 *
 * @param boot identifies the start of the answering replica
 * @param cursor the position to ask from next time
 * @param state the committed configuration and zones, or null if the asker holds them
 * @param instances the records that changed
 * @param loads the work of all other entries, by instance
 * @param entries the number of entries that polled lately
 * @param replicas the addresses of the control replicas that the answering one knows
 * @param leader the address of the presumed leader, or null
 */
public record FleetPollResult(
    long boot,
    long cursor,
    ServingState.@Nullable Committed state,
    List<InstanceUpdate> instances,
    List<HeadLoad> loads,
    int entries,
    List<String> replicas,
    @Nullable String leader) {}
