package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The group membership that an instance reports.
 *
 * @param name the name of the group
 * @param epoch the epoch of the member list; a later member list has a higher epoch
 * @param rank the position in the member list; rank 0 is the head, which receives the requests
 * @param state the state of this member
 */
public record GroupMembership(String name, long epoch, int rank, MemberState state) {
  // Explicit because the first use of a record's generated equals costs 30 ms of CPU time at every
  // process start.
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

  /** Returns the format used in log lines. */
  @Override
  public String toString() {
    return name + "@" + epoch + " rank " + rank + " " + state;
  }
}
