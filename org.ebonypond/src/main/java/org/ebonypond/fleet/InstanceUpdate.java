package org.ebonypond.fleet;

/**
 * A record of an instance on its way between processes.
 *
 * @param instance the record
 * @param ageMillis the time since its last heartbeat, in milliseconds
 */
public record InstanceUpdate(FleetInstance instance, long ageMillis) {}
