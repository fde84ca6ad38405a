package org.ebonypond.lease;

import java.util.Set;

/**
 * The voters of a Raft configuration.
 *
 * @param configIndex the log index of the configuration entry; rises with each change
 * @param voters the replica identities of the voters
 */
public record VoterSet(long configIndex, Set<String> voters) {
  /** Copies the set. */
  public VoterSet {
    voters = Set.copyOf(voters);
  }

  /** Returns the number of voters in the smallest majority. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}
