package org.ebonypond.group;

import org.ebonypond.control.InstanceKind;

/**
 * An announcement of a backend server, as forwarded by an entry.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param address host and port of its HTTP interface
 * @param zone the availability zone
 * @param domain the fabric domain
 * @param kind whether it runs an engine or a plain service
 * @param flavor the engine kind or the service name
 * @param status the status of the engine or the service
 * @param group the group it is loaded for, or an empty string
 * @param fencing the fencing number of the last order that it executed, or 0
 * @param active the number of requests in progress
 */
public record InstanceAnnouncement(
    String instance,
    String boot,
    String address,
    String zone,
    String domain,
    InstanceKind kind,
    String flavor,
    EngineStatus status,
    String group,
    long fencing,
    int active) {}
