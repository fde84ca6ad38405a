package org.ebonypond.consensus;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The durable state of a replica apart from its log and snapshot.
 *
 * @param term the latest term the replica has seen
 * @param vote the identity that this replica voted for in the term, or null
 */
public record HardState(long term, @Nullable String vote) {
  /** The state of a new replica. */
  public static final HardState INITIAL = new HardState(0, null);

  // Explicit because the first use of the generated equals method of a record takes 30 ms of CPU
  // time in each process.
  @Override
  public boolean equals(@Nullable Object o) {
    return o instanceof HardState s && term == s.term && Objects.equals(vote, s.vote);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(term) * 31 + Objects.hashCode(vote);
  }
}
