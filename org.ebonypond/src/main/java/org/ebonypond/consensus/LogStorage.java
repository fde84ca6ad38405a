package org.ebonypond.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The durable state of one replica. All methods are called by one thread, the owner; only the sync
 * that {@link #beginSync} returns may run on another thread. All other methods work in memory:
 * while a sync runs, the owner may read and change the storage, and the next sync covers these
 * changes. The start and the end of a sync must be passed between the threads with a happens-before
 * relation (a queue or a lock). The owner closes the storage only when no sync is running.
 *
 * <p>A sync that fails throws {@code EbonypondException} with {@code storage-failed}. Every later
 * change or sync then fails in the same way, because the state on the disk is unknown.
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
   * Replaces the snapshot and drops entries that it covers; durable after the next {@link #sync()}.
   *
   * @param snapshot the new snapshot, of a higher index than the current one
   * @param firstKept the lowest index that must stay readable; earlier entries may be dropped
   */
  void saveSnapshot(Snapshot snapshot, long firstKept);

  /** Replaces the snapshot and drops all entries; durable after the next {@link #sync()}. */
  void resetTo(Snapshot snapshot);

  /** Returns the index of the first stored entry; {@code lastIndex() + 1} if there is none. */
  long firstIndex();

  /** Returns the index of the last entry, or of the snapshot if no entry follows it, or 0. */
  long lastIndex();

  /** Returns an entry between {@link #firstIndex()} and {@link #lastIndex()}. */
  LogEntry entry(long index);

  /** Appends entries that continue the log; durable after the next {@link #sync()}. */
  void append(List<LogEntry> entries);

  /** Drops all entries from an index on; durable after the next {@link #sync()}. */
  void truncateFrom(long index);

  /**
   * Returns an index up to which the log was known to be committed before the last start, or 0. It
   * may be lower than the last saved hint, but is never higher than the commit index.
   */
  default long committedHint() {
    return 0;
  }

  /**
   * Saves the index up to which the log is committed and durable here. The hint is written with a
   * later sync and may be lost in a crash; a failure to write it is ignored.
   */
  default void saveCommittedHint(long index) {}

  /**
   * Returns a sync of all changes since the last call. The caller runs it once, on any thread, and
   * begins the next one only after it has ended.
   *
   * @return the sync, which makes the changes durable when run; null if there are no changes
   * @throws IllegalStateException if the previous sync has not ended
   */
  @Nullable Runnable beginSync();

  /** Makes all changes durable before it returns. */
  default void sync() {
    Runnable sync = beginSync();
    if (sync != null) {
      sync.run();
    }
  }

  @Override
  void close();
}
