package org.ebonypond.consensus;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.internal.LogChanges;
import org.ebonypond.consensus.internal.SegmentedLog;
import org.ebonypond.consensus.internal.StorageFiles;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * A {@link LogStorage} on a {@link Disk}: a file with identity, term and vote, a snapshot file, a
 * file with the commit index, and log segments. All entries on the disk are also kept in memory.
 *
 * <p>Only the owner's thread uses the state in memory and the list of changes. Only the running
 * sync, of which there is at most one, uses the disk and the state of its files.
 */
public final class DiskLogStorage implements LogStorage {
  /** The size after which a new log segment is started, in bytes. */
  public static final int DEFAULT_SEGMENT_BYTES = 16 << 20;

  private final Disk disk;
  private final StorageFiles files;
  private final SegmentedLog log;
  private final String replica;
  private final String identity;
  private HardState hardState;
  private boolean hardStateChanged;
  private @Nullable Snapshot snapshot;
  private boolean snapshotChanged;
  private final long committedHint;
  private long committed;
  private boolean committedChanged;
  private volatile boolean syncing;
  private volatile @Nullable EbonypondException failure;

  /**
   * Opens the storage; creates it with a random identity if the disk is empty.
   *
   * @param replica the name of the replica
   * @param random the source of the identity
   * @param segmentBytes the size after which a new log segment is started, in bytes
   * @throws EbonypondException {@code log-corrupt} if a file is damaged, except by an incomplete
   *     last write; {@code identity-mismatch} if the disk belongs to another replica; {@code
   *     storage-failed} if the disk cannot be read or written
   */
  public DiskLogStorage(
      Disk disk, String replica, RandomGenerator random, EventSink events, int segmentBytes) {
    this.disk = disk;
    this.replica = replica;
    try {
      files = new StorageFiles(disk);
      StorageFiles.Identity stored = files.readIdentity();
      if (stored == null) {
        byte[] id = new byte[16];
        random.nextBytes(id);
        stored =
            new StorageFiles.Identity(replica, HexFormat.of().formatHex(id), HardState.INITIAL);
        files.writeIdentity(stored);
      }
      if (!stored.replica().equals(replica)) {
        throw new EbonypondException(ErrorCode.IDENTITY_MISMATCH, stored.replica(), replica);
      }
      identity = stored.identity();
      hardState = stored.hardState();
      snapshot = files.readSnapshot();
      committedHint = files.readCommittedHint();
      log = new SegmentedLog(disk, "replica/" + replica, events, segmentBytes, snapshot);
      // A process that was killed, or whose sync failed, may have left changes that can be read but
      // do not survive a loss of power. The reader takes everything that it finds for durable.
      log.syncLast();
      disk.syncFolder();
    } catch (IOException e) {
      throw new EbonypondException(e, ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()));
    }
  }

  @Override
  public String identity() {
    return identity;
  }

  @Override
  public HardState hardState() {
    return hardState;
  }

  @Override
  public void saveHardState(HardState state) {
    requireUsable();
    hardStateChanged |= !state.equals(hardState);
    hardState = state;
  }

  @Override
  public @Nullable Snapshot snapshot() {
    return snapshot;
  }

  @Override
  public void saveSnapshot(Snapshot s, long firstKept) {
    requireUsable();
    log.dropBefore(firstKept);
    snapshot = s;
    snapshotChanged = true;
  }

  @Override
  public void resetTo(Snapshot s) {
    requireUsable();
    log.reset(s.index() + 1);
    snapshot = s;
    snapshotChanged = true;
  }

  @Override
  public long committedHint() {
    return committedHint;
  }

  @Override
  public void saveCommittedHint(long index) {
    committedChanged |= index > committed;
    committed = Math.max(committed, index);
  }

  @Override
  public long firstIndex() {
    return log.firstIndex();
  }

  @Override
  public long lastIndex() {
    return log.lastIndex();
  }

  @Override
  public LogEntry entry(long index) {
    return log.entry(index);
  }

  @Override
  public void append(List<LogEntry> entries) {
    requireUsable();
    log.append(entries);
  }

  @Override
  public void truncateFrom(long index) {
    requireUsable();
    log.truncateFrom(index);
  }

  @Override
  public @Nullable Runnable beginSync() {
    requireUsable();
    if (syncing) {
      throw new IllegalStateException("the previous sync of replica " + replica + " has not ended");
    }
    StorageFiles.Identity newIdentity =
        hardStateChanged ? new StorageFiles.Identity(replica, identity, hardState) : null;
    Snapshot newSnapshot = snapshotChanged ? snapshot : null;
    LogChanges changes = log.takeChanges();
    long newCommitted = committedChanged ? committed : 0;
    if (newIdentity == null && newSnapshot == null && changes.isEmpty() && newCommitted == 0) {
      return null;
    }
    committedChanged = false;
    hardStateChanged = false;
    snapshotChanged = false;
    syncing = true;
    return () -> write(newIdentity, newSnapshot, changes, newCommitted);
  }

  @Override
  public void close() {
    try {
      disk.close();
    } catch (IOException e) {
      throw new EbonypondException(e, ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()));
    }
  }

  private void requireUsable() {
    EbonypondException f = failure;
    if (f != null) {
      throw f;
    }
  }

  private void write(
      StorageFiles.@Nullable Identity newIdentity,
      @Nullable Snapshot newSnapshot,
      LogChanges changes,
      long newCommitted) {
    try {
      // The term is written before the entries, so that a crash leaves no entry of a later term.
      if (newIdentity != null) {
        files.writeIdentity(newIdentity);
      }
      // A snapshot that replaces the log is written before the entries are deleted. Any other
      // snapshot is written after the entries that it covers; otherwise the record of a later sync
      // would leave a gap.
      if (newSnapshot != null && changes.reset()) {
        files.writeSnapshot(newSnapshot);
      }
      log.writeEntries(changes);
      if (newSnapshot != null && !changes.reset()) {
        files.writeSnapshot(newSnapshot);
      }
      log.deleteSegments(changes);
      if (newCommitted > 0) {
        files.writeCommittedHint(newCommitted);
      }
    } catch (IOException e) {
      EbonypondException x =
          new EbonypondException(e, ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()));
      failure = x;
      throw x;
    } finally {
      syncing = false;
    }
  }
}
