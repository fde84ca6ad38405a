package org.ebonypond.server.forward;

import org.jspecify.annotations.Nullable;

/**
 * The fields that a request to a backend server has in addition to the caller's request.
 *
 * @param instance the only instance that may run the request
 * @param remainingMillis the time until the deadline, in milliseconds
 * @param workspace the caller's workspace, or null if it is not known
 * @param resumeAfter the identifier of the last event that the caller received, or an empty string
 * @param urgency the rank in the instance's queue, 0 is first; -1 to let the instance choose
 */
public record Dispatch(
    String instance,
    long remainingMillis,
    @Nullable String workspace,
    String resumeAfter,
    int urgency) {}
