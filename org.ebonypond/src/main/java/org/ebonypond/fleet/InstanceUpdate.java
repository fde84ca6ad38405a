package org.ebonypond.fleet;

/**
 * The record of an instance, as passed between processes.
 *
 * @param instance the record
 * @param ageMillis the time since its last heartbeat, in milliseconds
 */
public record InstanceUpdate(FleetInstance instance, long ageMillis) {}
