package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The group that an instance says it belongs to.
 *
 * @param name the name of the group
 * @param epoch the epoch of its member list; a later list of members has a higher one
 * @param rank the position in the member list; the head has rank 0 and takes the requests
 * @param state the state of this member
 */
public record GroupMembership(String name, long epoch, int rank, MemberState state) {
  // Written out because the generated comparison of a record takes 30 ms of processor time when it
  // is first used, at every start of a process.
  @Override
  public boolean equals(@Nullable Object o) {
    return o instanceof GroupMembership g
        && name.equals(g.name)
        && epoch == g.epoch
        && rank == g.rank
        && state == g.state;
  }

  @Override
  public int hashCode() {
    return ((name.hashCode() * 31 + Long.hashCode(epoch)) * 31 + rank) * 31 + state.hashCode();
  }

  /** Returns the membership as log lines show it. */
  @Override
  public String toString() {
    return name + "@" + epoch + " rank " + rank + " " + state;
  }
}
