package org.ebonypond.server.fleet;

import org.ebonypond.serving.ServingState;

/**
 * The committed state that a control replica has applied.
 *
 * @param state the state
 * @param confirmedAt the latest time, in milliseconds of the replica's timer service, at which its
 *     configuration was known to be the newest one; {@code Long.MIN_VALUE} if it never was
 */
record ConfirmedState(ServingState.Committed state, long confirmedAt) {}
