package org.ebonypond.server.control;

import java.util.List;

/**
 * State that only the control leader has. It is not replicated, and entries use it as a hint.
 *
 * @param entries the entries that polled recently; empty if the poll did not request them
 * @param loads the latest loads of the backend servers that the poll named
 */
public record LeaderDigest(List<EntryInfo> entries, List<ReportedLoad> loads) {
  /** Copies the lists. */
  public LeaderDigest {
    entries = List.copyOf(entries);
    loads = List.copyOf(loads);
  }
}
