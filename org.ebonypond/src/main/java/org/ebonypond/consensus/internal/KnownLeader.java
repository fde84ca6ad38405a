package org.ebonypond.consensus.internal;

import org.jspecify.annotations.Nullable;

/** The current leader as known to a replica, and the last one that it followed. */
public final class KnownLeader {
  private @Nullable String name;
  private String identity = "";
  private long term = -1;

  /** Returns the name of the presumed leader, or null. */
  public @Nullable String name() {
    return name;
  }

  /** Returns whether a leader has been known since this replica started. */
  public boolean everKnown() {
    return term >= 0;
  }

  /** Sets the leader of a term; a term has only one. */
  public void set(long newTerm, String newName, String newIdentity) {
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

  /** Clears the current leader. */
  public void clear() {
    name = null;
  }
}
