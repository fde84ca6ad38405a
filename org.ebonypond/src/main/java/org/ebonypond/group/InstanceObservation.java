package org.ebonypond.group;

/**
 * What the leader last heard of an engine instance; soft state that planning may use as a hint.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param model the loaded model, or an empty string
 * @param version the loaded version, or an empty string
 * @param active the number of requests that it runs
 * @param heardMillis when this was heard, in milliseconds
 */
public record InstanceObservation(
    String instance, String boot, String model, String version, int active, long heardMillis) {}
