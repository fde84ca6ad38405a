package org.ebonypond.fleet;

/**
 * A heartbeat that changed nothing but its sequence number, as passed between replicas.
 *
 * @param id the identifier of the instance
 * @param startMillis the time of its start, in milliseconds since 1970
 * @param sequence the sequence number of the heartbeat
 * @param ageMillis the time since the heartbeat, in milliseconds
 */
public record UnchangedHeartbeat(String id, long startMillis, long sequence, long ageMillis) {}
