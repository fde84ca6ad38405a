package org.ebonypond.consensus;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What a replica must not forget besides its log.
 *
 * @param term the latest term the replica has seen
 * @param vote the identity that received the vote of this replica in the term, or null
 */
public record HardState(long term, @Nullable String vote) {
  /** The state of a new replica. */
  public static final HardState INITIAL = new HardState(0, null);

  // Written out because the generated comparison of a record takes 30 ms of processor time when it
  // is first used, at every start of a process.
  @Override
  public boolean equals(@Nullable Object o) {
    return o instanceof HardState s && term == s.term && Objects.equals(vote, s.vote);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(term) * 31 + Objects.hashCode(vote);
  }
}
