package org.ebonypond.fleet;

import java.util.List;

/**
 * A group whose members were ordered to join.
 *
 * @param name the name of the group
 * @param epoch the epoch of its member list
 * @param model the name of the model
 * @param members the identifiers of the members, head first
 * @param since the time at which the group was planned, in milliseconds
 * @param readyBy the deadline after which the group is abandoned, in milliseconds
 */
record PlannedGroup(
    String name, long epoch, String model, List<String> members, long since, long readyBy) {}
