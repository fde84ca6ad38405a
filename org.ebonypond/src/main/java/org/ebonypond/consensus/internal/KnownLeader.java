package org.ebonypond.consensus.internal;

import org.jspecify.annotations.Nullable;

/** The leader that a replica knows, and the last one that it ever followed. */
public final class KnownLeader {
  private @Nullable String name;
  private String identity = "";
  private long term = -1;

  /** Returns the name of the presumed leader, or null. */
  public @Nullable String name() {
    return name;
  }

  /** Returns whether there was a leader since this replica started. */
  public boolean everKnown() {
    return term >= 0;
  }

  /** Notes the leader of a term; there is only one. */
  public void note(long newTerm, String newName, String newIdentity) {
    Invariant.check(
        term != newTerm || identity.equals(newIdentity),
        "two leaders in term %d: %s and %s",
        newTerm,
        identity,
        newIdentity);
    name = newName;
    identity = newIdentity;
    term = newTerm;
  }

  /** Notes that no leader is known now. */
  public void forget() {
    name = null;
  }
}
