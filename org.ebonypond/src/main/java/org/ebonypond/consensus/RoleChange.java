package org.ebonypond.consensus;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A change of role or of the known leader.
 *
 * @param role the new role
 * @param term the term in which it holds
 * @param leader the name of the leader, or null if none is known
 */
public record RoleChange(RaftRole role, long term, @Nullable String leader) {
  // Written out because the generated comparison of a record takes 30 ms of processor time when it
  // is first used, at every start of a process.
  @Override
  public boolean equals(@Nullable Object o) {
    return o instanceof RoleChange c
        && role == c.role
        && term == c.term
        && Objects.equals(leader, c.leader);
  }

  @Override
  public int hashCode() {
    return (role.hashCode() * 31 + Long.hashCode(term)) * 31 + Objects.hashCode(leader);
  }
}
