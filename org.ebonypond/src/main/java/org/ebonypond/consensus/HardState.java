package org.ebonypond.consensus;

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
}
