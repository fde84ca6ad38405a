package org.ebonypond.lease;

/**
 * What a share is a share of: one start of a backend server or group.
 *
 * @param name the instance or group
 * @param boot the boot identity; a new start is another target
 */
public record ShareTarget(String name, String boot) {}
