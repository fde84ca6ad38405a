package org.ebonypond.ledger;

import org.jspecify.annotations.Nullable;

/**
 * One non-idempotent request at an entry.
 *
 * @param workspace the caller's workspace
 * @param key the idempotency key, or null
 * @param digest a value of {@link RequestDigest}
 * @param attempt the identity of this attempt, never used for another request
 * @param startMillis the monotonic time at which the entry received the request
 * @param deadlineMillis the monotonic time until which the caller waits
 * @param wallMillis the wall-clock time at {@code startMillis}; commands carry times derived from
 *     it
 */
public record CallRequest(
    String workspace,
    @Nullable String key,
    String digest,
    AttemptId attempt,
    long startMillis,
    long deadlineMillis,
    long wallMillis) {}
