package org.ebonypond.fleet;

/**
 * The group that an instance says it belongs to.
 *
 * @param name the name of the group
 * @param epoch the epoch of its member list; a later list of members has a higher one
 * @param rank the position in the member list; the head has rank 0 and takes the requests
 * @param state the state of this member
 */
public record GroupMembership(String name, long epoch, int rank, MemberState state) {}
