package org.ebonypond.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A part of the committed log, for processes that are not replicas. The receiver restores the
 * snapshot, if present, applies the entries of type {@link EntryType#COMMAND}, and continues after
 * the index of the last entry.
 *
 * @param snapshot the state to start from, if the log no longer contains the requested entries
 * @param entries the committed entries that follow, without gaps
 * @param appliedIndex the last index that this replica has applied
 */
public record CommittedEntries(
    @Nullable Snapshot snapshot, List<LogEntry> entries, long appliedIndex) {
  /** Copies the list so that the value is immutable. */
  public CommittedEntries {
    entries = List.copyOf(entries);
  }
}
