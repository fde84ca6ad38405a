package org.ebonypond.server.control;

import java.util.List;

/**
 * What only the control leader knows; soft state that entries use as a hint.
 *
 * @param entries the processes that polled lately; empty if the poll did not ask for them
 * @param loads the latest loads of the backend servers that the poll named
 */
public record LeaderDigest(List<EntryInfo> entries, List<ReportedLoad> loads) {
  /** Copies the lists. */
  public LeaderDigest {
    entries = List.copyOf(entries);
    loads = List.copyOf(loads);
  }
}
