package org.ebonypond.lease;

/**
 * Identifies a holder of shares. A restarted entry is another holder, because requests of its older
 * process may still run.
 *
 * @param entry the name of the entry
 * @param incarnation the incarnation of its process
 */
public record HolderId(String entry, long incarnation) {}
