package org.ebonypond.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The durable state of one replica. Calls are serialized. Every method throws {@code
 * EbonypondException} with {@code storage-failed} when a write or a sync fails; after that, every
 * further call fails in the same way, because the state on the disk is no longer known.
 */
public interface LogStorage extends AutoCloseable {
  /** Returns the random identity that was stored when the data folder was created. */
  String identity();

  /** Returns the term and vote that were last saved. */
  HardState hardState();

  /** Replaces term and vote; durable after the next {@link #sync()}. */
  void saveHardState(HardState state);

  /** Returns the latest snapshot, or null if there is none. */
  @Nullable Snapshot snapshot();

  /**
   * Replaces the snapshot durably, and then drops entries that it covers.
   *
   * @param snapshot the new snapshot, of a higher index than the current one
   * @param firstKept the smallest index that must stay readable; lower entries may be dropped
   */
  void saveSnapshot(Snapshot snapshot, long firstKept);

  /** Replaces the snapshot durably and drops all entries. */
  void resetTo(Snapshot snapshot);

  /**
   * Returns the index of the first entry that is held; {@code lastIndex() + 1} if there is none.
   */
  long firstIndex();

  /** Returns the index of the last entry, or of the snapshot if no entry follows it, or 0. */
  long lastIndex();

  /** Returns an entry between {@link #firstIndex()} and {@link #lastIndex()}. */
  LogEntry entry(long index);

  /** Appends entries that continue the log; durable after the next {@link #sync()}. */
  void append(List<LogEntry> entries);

  /** Drops all entries from an index on; durable after the next {@link #sync()}. */
  void truncateFrom(long index);

  /** Makes everything durable that was saved, appended or truncated. */
  void sync();

  @Override
  void close();
}
