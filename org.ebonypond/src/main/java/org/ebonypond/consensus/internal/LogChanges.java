package org.ebonypond.consensus.internal;

import java.util.List;
import org.ebonypond.consensus.LogEntry;

/**
 * The changes of the log that one sync writes.
 *
 * @param reset whether all segments are deleted before the entries are written
 * @param from the index from which the entries replace those on the disk, or {@link #CLEAN}
 * @param entries all entries from that index on
 * @param dropBefore the index before which entries are no longer needed, or 0
 */
public record LogChanges(boolean reset, long from, List<LogEntry> entries, long dropBefore) {
  /** The value of {@link #from} if no entry was appended or dropped at the end. */
  public static final long CLEAN = Long.MAX_VALUE;

  /** Copies the list so that the changes are immutable. */
  public LogChanges {
    entries = List.copyOf(entries);
  }

  /** Returns whether there is nothing to write. */
  public boolean isEmpty() {
    return !reset && from == CLEAN && dropBefore == 0;
  }
}
