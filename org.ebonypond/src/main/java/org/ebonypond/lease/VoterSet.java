package org.ebonypond.lease;

import java.util.Set;

/**
 * The voters of a Raft configuration.
 *
 * @param configIndex the log index of the configuration entry; increases with each change
 * @param voters the identities of the voting replicas
 */
public record VoterSet(long configIndex, Set<String> voters) {
  /** Copies the set. */
  public VoterSet {
    voters = Set.copyOf(voters);
  }

  /** Returns the number of voters that form a majority. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}
