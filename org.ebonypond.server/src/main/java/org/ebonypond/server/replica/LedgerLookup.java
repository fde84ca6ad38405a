package org.ebonypond.server.replica;

/**
 * A lookup of one key in the request ledger.
 *
 * @param workspace the workspace
 * @param key the idempotency key
 */
public record LedgerLookup(String workspace, String key) {}
