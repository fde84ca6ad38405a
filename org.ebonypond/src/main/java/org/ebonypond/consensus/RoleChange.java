package org.ebonypond.consensus;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A change of role or of the known leader.
 *
 * @param role the new role
 * @param term the term of the role
 * @param leader the name of the leader, or null if none is known
 */
public record RoleChange(RaftRole role, long term, @Nullable String leader) {
  // Explicit because the first use of the generated equals method of a record takes 30 ms of CPU
  // time in each process.
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
