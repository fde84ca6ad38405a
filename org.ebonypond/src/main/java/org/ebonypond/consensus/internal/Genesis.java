package org.ebonypond.consensus.internal;

import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftConfig;
import org.jspecify.annotations.Nullable;

/**
 * Collects the identities for the first configuration. A grant is a vote: each empty replica grants
 * one identity per term and stores that durably, so at most one configuration is formed in a term,
 * and a replica that granted a later term refuses the entries of an earlier one.
 */
public final class Genesis {
  private final RaftConfig config;
  private final Map<String, String> granted = new TreeMap<>();
  private long term = -1;

  /** Creates a collection without any identity. */
  public Genesis(RaftConfig config) {
    this.config = config;
  }

  /** Starts a round, or repeats the current one. */
  public void start(long term, String identity) {
    if (term != this.term) {
      granted.clear();
    }
    this.term = term;
    granted.put(config.self(), identity);
  }

  /** Notes a grant; grants of other rounds are ignored. */
  public void grant(long term, String name, String identity) {
    if (term == this.term && config.replicas().contains(name)) {
      granted.put(name, identity);
    }
  }

  /** Returns the first configuration once every configured replica has granted it, or null. */
  public @Nullable Membership membership() {
    return granted.size() == config.replicas().size() ? new Membership(granted) : null;
  }
}
