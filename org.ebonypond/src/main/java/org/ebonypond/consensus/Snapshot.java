package org.ebonypond.consensus;

/**
 * The state of the state machine after a prefix of the log.
 *
 * @param index the index of the last log entry that the snapshot covers
 * @param term the term of that entry
 * @param membership the membership in force at that index
 * @param data the encoded state, see {@link StateMachine#snapshot()}
 */
public record Snapshot(long index, long term, Membership membership, byte[] data) {}
