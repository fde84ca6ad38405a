package org.ebonypond.consensus;

import java.util.Arrays;

/**
 * One entry of the replicated log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that created the entry
 * @param type the kind of entry
 * @param data the encoded content; empty for {@link EntryType#NOOP}
 */
public record LogEntry(long index, long term, EntryType type, byte[] data) {
  @Override
  public boolean equals(Object o) {
    return o instanceof LogEntry e
        && index == e.index
        && term == e.term
        && type == e.type
        && Arrays.equals(data, e.data);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(index) * 31 + Arrays.hashCode(data);
  }

  @Override
  public String toString() {
    return index + "@" + term + " " + type + " (" + data.length + " bytes)";
  }
}
