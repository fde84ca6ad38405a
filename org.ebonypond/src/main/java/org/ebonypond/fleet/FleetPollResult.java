package org.ebonypond.fleet;

import java.util.List;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a {@link FleetPoll}.
 *
 * @param boot identifies the start of the answering replica
 * @param cursor the cursor to send with the next poll
 * @param version the version of the configuration that the replica holds
 * @param zonesIndex the log index of the zones out of service that the replica holds
 * @param ready whether the replica can be an entry's home: it is in contact with a majority of the
 *     replicas and has had time to learn the fleet
 * @param state the newer configuration and zones, or null if there are none or they were not
 *     requested; the content is empty if only the zones are newer
 * @param instances the changed records; empty unless this replica is the sender's home
 * @param unchanged the heartbeats that changed only the sequence number; sent to replicas only
 * @param loads the load of all other entries at each instance; null unless this replica is the
 *     sender's home
 * @param entries the number of entries that polled recently
 * @param minPollIntervalMillis the minimum time until the next poll of an entry whose home this is,
 *     in milliseconds; limits the total poll rate to what the replica can answer
 * @param replicas the addresses of the control replicas known to the answering one
 * @param leader the address of the presumed leader, or null
 * @param suspicions the prompt parts that other processes suspect of crashing instances; empty
 *     unless this replica is the sender's home
 * @param limits the limits that instances have named to any entry; empty unless this replica is the
 *     sender's home
 * @param stateAgeMillis how long ago the replica's state was known to be the newest committed one,
 *     in milliseconds; {@link #UNCONFIRMED} if it never was
 * @param relays some of the other entries that relay connections; empty unless the sender asked
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
    @Nullable List<InstanceLoad> loads,
    int entries,
    long minPollIntervalMillis,
    List<String> replicas,
    @Nullable String leader,
    List<PartSuspicion> suspicions,
    List<NamedLimit> limits,
    long stateAgeMillis,
    List<RelayAddress> relays) {
  /** The age of a state that was never known to be the newest. */
  public static final long UNCONFIRMED = Long.MAX_VALUE;

  /** Creates an answer that names no relays. */
  public FleetPollResult(
      long boot,
      long cursor,
      long version,
      long zonesIndex,
      boolean ready,
      ServingState.@Nullable Committed state,
      List<InstanceUpdate> instances,
      List<UnchangedHeartbeat> unchanged,
      @Nullable List<InstanceLoad> loads,
      int entries,
      long minPollIntervalMillis,
      List<String> replicas,
      @Nullable String leader,
      List<PartSuspicion> suspicions,
      List<NamedLimit> limits,
      long stateAgeMillis) {
    this(
        boot,
        cursor,
        version,
        zonesIndex,
        ready,
        state,
        instances,
        unchanged,
        loads,
        entries,
        minPollIntervalMillis,
        replicas,
        leader,
        suspicions,
        limits,
        stateAgeMillis,
        List.of());
  }
}
