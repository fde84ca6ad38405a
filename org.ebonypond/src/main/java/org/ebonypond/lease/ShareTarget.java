package org.ebonypond.lease;

/**
 * The subject of a share: one boot of a backend server or group.
 *
 * @param name the name of the instance or group
 * @param boot the boot identity; a restart creates a new target
 */
public record ShareTarget(String name, String boot) {}
