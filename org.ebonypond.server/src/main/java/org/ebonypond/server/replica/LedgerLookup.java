package org.ebonypond.server.replica;

/**
 * A question about a key of the request ledger.
 *
 * @param workspace the workspace
 * @param key the idempotency key
 */
public record LedgerLookup(String workspace, String key) {}
