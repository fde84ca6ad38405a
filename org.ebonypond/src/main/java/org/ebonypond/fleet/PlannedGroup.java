package org.ebonypond.fleet;

import java.util.List;

/**
 * A group whose members were ordered to join.
 *
 * @param name the name
 * @param epoch the epoch
 * @param model the model
 * @param members the identifiers of the members, head first
 * @param since the time of the first order, in milliseconds
 * @param readyBy the time after which it is given up, in milliseconds
 */
record PlannedGroup(
    String name, long epoch, String model, List<String> members, long since, long readyBy) {}
