package org.ebonypond.consensus.internal;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.consensus.Disk;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * The log entries of a replica, in segment files and in memory. Only the owner's thread uses the
 * entries in memory and the changes since the last sync. Only the running sync uses the disk and
 * the list of segments, see {@link org.ebonypond.consensus.LogStorage}.
 */
public final class SegmentedLog {
  private static final String PREFIX = "log-";

  private final Disk disk;
  private final String subject;
  private final EventSink events;
  private final int segmentBytes;
  private final EntryWindow window;

  /** The highest entry index of each segment, by segment number. */
  private final TreeMap<Long, Long> segments = new TreeMap<>();

  private long currentSize;
  private boolean startSegment;

  private long changedFrom = LogChanges.CLEAN;
  private boolean resetPending;
  private long pendingDropBefore;

  /**
   * Reads the segments.
   *
   * @param subject the subject of events
   * @param segmentBytes the size after which a new segment is started, in bytes
   * @param snapshot the snapshot that precedes the log, or null
   */
  public SegmentedLog(
      Disk disk, String subject, EventSink events, int segmentBytes, @Nullable Snapshot snapshot)
      throws IOException {
    this.disk = disk;
    this.subject = subject;
    this.events = events;
    this.segmentBytes = segmentBytes;
    this.window = new EntryWindow(1);
    for (String file : disk.list()) {
      if (isSegment(file)) {
        segments.put(Long.parseLong(file.substring(PREFIX.length())), 0L);
      }
    }
    boolean first = true;
    for (long number : List.copyOf(segments.keySet())) {
      first = readSegment(number, first);
    }
    reconcile(snapshot);
  }

  static boolean isSegment(String file) {
    return file.startsWith(PREFIX);
  }

  private boolean readSegment(long number, boolean firstRecord) throws IOException {
    String file = name(number);
    byte[] content = disk.read(file);
    boolean first = firstRecord;
    int offset = 0;
    while (offset < content.length) {
      LogRecord r = LogRecord.decode(content, offset);
      if (r == null) {
        truncateTail(number, content, offset);
        break;
      }
      // A record may replace entries whose segment has been deleted since, and thus start before
      // the first remaining record.
      if (first || r.firstIndex() < window.first()) {
        window.reset(r.firstIndex());
        first = false;
      }
      if (r.firstIndex() > window.last() + 1) {
        throw new EbonypondException(ErrorCode.LOG_CORRUPT, file, offset);
      }
      window.truncateFrom(r.firstIndex());
      r.entries().forEach(window::add);
      segments.merge(number, window.last(), Math::max);
      offset += r.size();
    }
    currentSize = offset;
    return first;
  }

  private void truncateTail(long number, byte[] content, int offset) throws IOException {
    String file = name(number);
    if (number != segments.lastKey() || LogRecord.existsFrom(content, offset + 1)) {
      throw new EbonypondException(ErrorCode.LOG_CORRUPT, file, offset);
    }
    disk.truncate(file, offset);
    events.emit(
        EventCode.LOG_TAIL_CUT,
        subject,
        Map.of(
            "segment", file,
            "offset", String.valueOf(offset),
            "bytes", String.valueOf(content.length - offset)));
  }

  /** Drops all entries if they do not match the snapshot. */
  private void reconcile(@Nullable Snapshot s) throws IOException {
    long index = s == null ? 0 : s.index();
    if (window.first() > index + 1) {
      throw new EbonypondException(ErrorCode.LOG_CORRUPT, name(segments.firstKey()), 0);
    }
    if (s == null) {
      return;
    }
    // True if the replica stopped after storing a snapshot of the leader and before deleting the
    // entries that the snapshot replaces.
    boolean replaced =
        window.last() < index || (window.first() <= index && window.get(index).term() != s.term());
    if (replaced) {
      window.reset(index + 1);
      deleteAllSegments();
    }
  }

  /** Returns the index of the first entry. */
  public long firstIndex() {
    return window.first();
  }

  /** Returns the index of the last entry. */
  public long lastIndex() {
    return window.last();
  }

  /** Returns an entry. */
  public LogEntry entry(long index) {
    return window.get(index);
  }

  /** Appends entries; durable after the next sync. */
  public void append(List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return;
    }
    changedFrom = Math.min(changedFrom, entries.get(0).index());
    entries.forEach(window::add);
  }

  /** Drops all entries from an index on; durable after the next sync. */
  public void truncateFrom(long index) {
    changedFrom = Math.min(changedFrom, index);
    window.truncateFrom(index);
  }

  /** Drops entries before an index, except those that no sync covers yet. */
  public void dropBefore(long index) {
    // Dropping entries that are in no record yet would make the next record leave a gap.
    long first = Math.min(index, changedFrom);
    window.dropBefore(first);
    pendingDropBefore = Math.max(pendingDropBefore, first);
  }

  /** Drops all entries; the next one has the given index. */
  public void reset(long next) {
    window.reset(next);
    changedFrom = LogChanges.CLEAN;
    resetPending = true;
    pendingDropBefore = 0;
  }

  /** Returns the changes since the last call; they must be written before the next ones. */
  public LogChanges takeChanges() {
    List<LogEntry> entries = changedFrom == LogChanges.CLEAN ? List.of() : window.from(changedFrom);
    final LogChanges changes =
        new LogChanges(resetPending, changedFrom, entries, pendingDropBefore);
    changedFrom = LogChanges.CLEAN;
    resetPending = false;
    pendingDropBefore = 0;
    return changes;
  }

  /** Writes all changed entries as one record and syncs it. */
  public void writeEntries(LogChanges changes) throws IOException {
    if (changes.reset()) {
      deleteAllSegments();
    }
    if (changes.from() == LogChanges.CLEAN) {
      return;
    }
    if (segments.isEmpty() || startSegment || currentSize >= segmentBytes) {
      segments.put(segments.isEmpty() ? 1 : segments.lastKey() + 1, 0L);
      currentSize = 0;
      startSegment = false;
    }
    byte[] record = LogRecord.encode(changes.from(), changes.entries());
    String file = name(segments.lastKey());
    disk.append(file, record);
    disk.sync(file);
    currentSize += record.length;
    long last = changes.from() + changes.entries().size() - 1;
    segments.merge(segments.lastKey(), last, Math::max);
  }

  /** Syncs the last segment; all earlier ones were synced before it was started. */
  public void syncLast() throws IOException {
    if (!segments.isEmpty()) {
      disk.sync(name(segments.lastKey()));
    }
  }

  /** Deletes the segments whose entries are all no longer needed. */
  public void deleteSegments(LogChanges changes) throws IOException {
    long index = changes.dropBefore();
    if (index == 0) {
      return;
    }
    // The next record starts a new segment, so that the current one can later be deleted.
    startSegment = !segments.isEmpty();
    while (segments.size() > 1 && segments.firstEntry().getValue() < index) {
      disk.delete(name(segments.firstKey()));
      segments.pollFirstEntry();
    }
  }

  private void deleteAllSegments() throws IOException {
    // Newest first, so that a crash leaves no gap between the remaining segments.
    while (!segments.isEmpty()) {
      disk.delete(name(segments.lastKey()));
      segments.pollLastEntry();
    }
  }

  private static String name(long number) {
    return String.format("%s%012d", PREFIX, number);
  }
}
