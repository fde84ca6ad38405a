package org.ebonypond.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The durable state of one replica. One thread, the owner, calls all methods, and only the sync
 * that {@link #beginSync} returns may run on another thread. All other methods work in memory:
 * while a sync runs, the owner may read and change the storage, and its changes go into the next
 * sync. The owner hands the sync to the other thread, and learns of its end, in a way that orders
 * memory (a queue or a lock); it closes the storage only after that end.
 *
 * <p>A sync that fails throws {@code EbonypondException} with {@code storage-failed}; after that,
 * every further change or sync fails in the same way, because the state on the disk is no longer
 * known.
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
   * @param firstKept the smallest index that must stay readable; lower entries may be dropped
   */
  void saveSnapshot(Snapshot snapshot, long firstKept);

  /** Replaces the snapshot and drops all entries; durable after the next {@link #sync()}. */
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

  /**
   * Returns an index up to which the log was known to be committed before the last start, or 0. It
   * may be older than what was noted, and never names an entry that was not committed.
   */
  default long committedHint() {
    return 0;
  }

  /**
   * Notes that the log is committed and durable here up to an index. The note goes with a later
   * sync, may be lost in a crash, and a failure to write it has no consequence.
   */
  default void noteCommitted(long index) {}

  /**
   * Takes all changes since the last call as one sync. The caller runs it once, on any thread, and
   * begins the next one only after its end.
   *
   * @return the sync, which makes the changes durable when it is run; null if there are none
   * @throws IllegalStateException if the sync that was begun last has not ended
   */
  @Nullable Runnable beginSync();

  /** Makes everything durable that was changed; returns when that is done. */
  default void sync() {
    Runnable sync = beginSync();
    if (sync != null) {
      sync.run();
    }
  }

  @Override
  void close();
}
