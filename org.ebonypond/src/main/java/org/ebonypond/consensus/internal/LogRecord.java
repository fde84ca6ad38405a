package org.ebonypond.consensus.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.jspecify.annotations.Nullable;

/**
 * One record of a log segment: all entries that one sync made durable. A record whose first index
 * is not beyond the end of the log replaces the entries from that index on, so that a truncation
 * never rewrites durable bytes.
 *
 * <p>Because there is one record per sync rather than per entry, a crash leaves at most one
 * incomplete record. An incomplete record that is followed by a complete one is therefore always
 * corruption.
 *
 * <p>Layout, big-endian: magic, length of the body, first index (8 bytes), number of entries,
 * CRC32C of these 20 bytes, CRC32C of the body; the body holds for each entry the length of the
 * data, the term (8 bytes), the type (1 byte) and the data.
 *
 * @param firstIndex the index of the first entry
 * @param entries the entries; empty if the record only truncates
 * @param size the size of the record, in bytes
 */
record LogRecord(long firstIndex, List<LogEntry> entries, int size) {
  private static final int MAGIC = 0x45504c31;
  private static final int HEADER = 28;
  private static final int ENTRY_HEADER = 13;
  private static final EntryType[] TYPES = EntryType.values();

  static byte[] encode(long firstIndex, List<LogEntry> entries) {
    int length = 0;
    for (LogEntry e : entries) {
      length = Math.addExact(length, ENTRY_HEADER + e.data().length);
    }
    ByteBuffer b = ByteBuffer.allocate(Math.addExact(HEADER, length));
    b.putInt(MAGIC).putInt(length).putLong(firstIndex).putInt(entries.size());
    b.putInt(CheckedFile.crc(b.array(), 0, 20)).putInt(0);
    for (LogEntry e : entries) {
      b.putInt(e.data().length).putLong(e.term()).put((byte) e.type().ordinal()).put(e.data());
    }
    b.putInt(24, CheckedFile.crc(b.array(), HEADER, length));
    return b.array();
  }

  /** Returns the record at an offset, or null if there is no complete and intact one. */
  static @Nullable LogRecord decode(byte[] segment, int offset) {
    if (segment.length - offset < HEADER) {
      return null;
    }
    ByteBuffer b = ByteBuffer.wrap(segment, offset, segment.length - offset);
    if (b.getInt() != MAGIC) {
      return null;
    }
    int length = b.getInt();
    final long first = b.getLong();
    final int count = b.getInt();
    if (b.getInt() != CheckedFile.crc(segment, offset, 20)
        || length < 0
        || length > segment.length - offset - HEADER
        || b.getInt() != CheckedFile.crc(segment, offset + HEADER, length)) {
      return null;
    }
    List<LogEntry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      byte[] data = new byte[b.getInt()];
      long term = b.getLong();
      EntryType type = TYPES[b.get()];
      b.get(data);
      entries.add(new LogEntry(first + i, term, type, data));
    }
    return new LogRecord(first, entries, HEADER + length);
  }

  /** Returns whether a complete and intact record starts at or after an offset. */
  static boolean existsFrom(byte[] segment, int offset) {
    for (int i = offset; i <= segment.length - HEADER; i++) {
      if (segment[i] == (byte) (MAGIC >>> 24) && decode(segment, i) != null) {
        return true;
      }
    }
    return false;
  }
}
