package org.ebonypond.lease;

/**
 * Identifies a holder of shares. A restarted entry is a new holder, because requests of its
 * previous process may still be running.
 *
 * @param entry the name of the entry
 * @param incarnation the incarnation of the entry's process
 */
public record HolderId(String entry, long incarnation) {}
