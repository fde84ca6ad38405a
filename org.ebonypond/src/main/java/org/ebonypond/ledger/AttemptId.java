package org.ebonypond.ledger;

/**
 * Identifies one attempt to run a call. The ledger fences attempts by this identity, and a command
 * that is sent again carries the same one.
 *
 * @param entry the name of the entry
 * @param incarnation increases with each start of the entry's process
 * @param number unique within the incarnation
 */
public record AttemptId(String entry, long incarnation, long number) {}
