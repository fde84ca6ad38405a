package org.ebonypond.group;

import org.ebonypond.control.ControlCommand;

/**
 * A command that the leader should propose to the control log.
 *
 * @param command the command to propose
 * @param reason the reason, for display
 */
public record Proposal(ControlCommand command, String reason) {}
