package org.ebonypond.server.forward;

import org.jspecify.annotations.Nullable;

/**
 * What a request to a backend server says beside what the caller sent.
 *
 * @param instance the only instance that may run it
 * @param remainingMillis the time that is left, in milliseconds
 * @param workspace the caller's workspace, or null
 * @param resumeAfter the last event that the caller has had, or an empty string
 * @param urgency the rank at the instance, 0 is first; -1 to leave it to the instance
 */
public record Dispatch(
    String instance,
    long remainingMillis,
    @Nullable String workspace,
    String resumeAfter,
    int urgency) {}
