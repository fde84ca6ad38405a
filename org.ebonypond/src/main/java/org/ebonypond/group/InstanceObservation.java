package org.ebonypond.group;

/**
 * The last observation of an engine instance by the leader; soft state that the planner uses as a
 * hint.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param model the loaded model, or an empty string
 * @param version the loaded version, or an empty string
 * @param active the number of requests in progress
 * @param receivedMillis the time at which the announcement was received, in milliseconds
 */
public record InstanceObservation(
    String instance, String boot, String model, String version, int active, long receivedMillis) {}
