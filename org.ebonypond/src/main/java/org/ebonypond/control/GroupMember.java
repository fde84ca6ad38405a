package org.ebonypond.control;

/**
 * A member of a group.
 *
 * @param instance the instance's name
 * @param boot the boot identity with which it joined
 */
public record GroupMember(String instance, String boot) {}
