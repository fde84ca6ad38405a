package org.ebonypond.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.consensus.LogEntry;

/** The log entries in memory, with consecutive indexes. */
final class EntryWindow {
  private final List<LogEntry> entries = new ArrayList<>();
  private long base;

  /** Creates an empty window whose next entry has the given index. */
  EntryWindow(long next) {
    base = next;
  }

  long first() {
    return base;
  }

  long last() {
    return base + entries.size() - 1;
  }

  LogEntry get(long index) {
    return entries.get(Math.toIntExact(index - base));
  }

  List<LogEntry> from(long index) {
    return List.copyOf(entries.subList(Math.toIntExact(index - base), entries.size()));
  }

  void add(LogEntry e) {
    if (e.index() != last() + 1) {
      throw new IllegalArgumentException("entry " + e.index() + " does not follow " + last());
    }
    entries.add(e);
  }

  void truncateFrom(long index) {
    entries.subList(Math.toIntExact(index - base), entries.size()).clear();
  }

  void dropBefore(long index) {
    if (index <= base) {
      return;
    }
    int count = Math.toIntExact(Math.min(index - base, entries.size()));
    entries.subList(0, count).clear();
    base += count;
  }

  void reset(long next) {
    entries.clear();
    base = next;
  }
}
