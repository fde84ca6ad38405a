package org.ebonypond.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * The log of one replica: its storage, the memberships in it, and the durable index. Syncs are
 * numbered from 1, and at most one runs at a time.
 */
public final class RaftLog {
  private final LogStorage storage;
  private final NavigableMap<Long, Membership> memberships = new TreeMap<>();
  private long durableIndex;
  private long savedHint;
  private long syncsBegun;
  private long syncsEnded;

  /** The last index that the running sync makes durable. */
  private long syncingTo;

  /** The number of the sync that covers the last change of any kind. */
  private long changeSync;

  /** The number of the sync that covers the last change of term or vote. */
  private long hardStateSync;

  /** Reads the memberships from the storage. */
  public RaftLog(LogStorage storage) {
    this.storage = storage;
    memberships.put(0L, Membership.NONE);
    Snapshot s = storage.snapshot();
    if (s != null) {
      memberships.put(s.index(), s.membership());
    }
    for (long i = storage.firstIndex(); i <= storage.lastIndex(); i++) {
      if (s == null || i > s.index()) {
        noteMembership(storage.entry(i));
      }
    }
    durableIndex = storage.lastIndex();
  }

  /** Returns the identity of the replica. */
  public String identity() {
    return storage.identity();
  }

  /** Returns the latest snapshot, or null. */
  public @Nullable Snapshot snapshot() {
    return storage.snapshot();
  }

  /** Returns the index that the snapshot covers, or 0. */
  public long snapshotIndex() {
    Snapshot s = storage.snapshot();
    return s == null ? 0 : s.index();
  }

  /** Returns the index of the first stored entry. */
  public long firstIndex() {
    return storage.firstIndex();
  }

  /** Returns the index of the last entry, durable or not. */
  public long lastIndex() {
    return storage.lastIndex();
  }

  /** Returns the term of the last entry. */
  public long lastTerm() {
    return term(lastIndex());
  }

  /** Returns the index of the last durable entry. */
  public long durableIndex() {
    return durableIndex;
  }

  /** Returns whether there is neither an entry nor a snapshot. */
  public boolean isEmpty() {
    return lastIndex() == 0;
  }

  /** Returns the term of an entry, or -1 if it is not known. */
  public long term(long index) {
    if (index == 0) {
      return 0;
    }
    if (index >= storage.firstIndex() && index <= storage.lastIndex()) {
      return storage.entry(index).term();
    }
    Snapshot s = storage.snapshot();
    return s != null && s.index() == index ? s.term() : -1;
  }

  /** Returns whether a log with the given last entry is at least as up to date as this one. */
  public boolean isCoveredBy(long index, long term) {
    return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
  }

  /** Returns a stored entry. */
  public LogEntry entry(long index) {
    return storage.entry(index);
  }

  /**
   * Returns the entries from an index up to a last index.
   *
   * @param from the first index, at least {@link #firstIndex()}
   * @param last the last index
   * @param maxBytes the size in bytes from which no further entry is added; the first always is
   */
  public List<LogEntry> slice(long from, long last, int maxBytes) {
    List<LogEntry> entries = new ArrayList<>();
    long size = 0;
    for (long i = from; i <= last && size < maxBytes; i++) {
      LogEntry e = storage.entry(i);
      size += e.data().length + 32;
      entries.add(e);
    }
    return entries;
  }

  /** Returns the first index of the run of entries with the same term that ends at an index. */
  public long firstIndexOfTerm(long index) {
    long i = index;
    while (i > firstIndex() && term(i - 1) == term(index)) {
      i--;
    }
    return i;
  }

  /** Appends one entry after the last. */
  public LogEntry append(long term, EntryType type, byte[] data) {
    LogEntry e = new LogEntry(lastIndex() + 1, term, type, data);
    append(List.of(e));
    return e;
  }

  /** Appends entries that continue the log. */
  public void append(List<LogEntry> entries) {
    storage.append(entries);
    entries.forEach(this::noteMembership);
    noteChange();
  }

  /** Drops all entries from an index on. */
  public void truncateFrom(long index) {
    storage.truncateFrom(index);
    memberships.tailMap(index, true).clear();
    notDurableFrom(index);
    noteChange();
  }

  /** Returns an index up to which the log is known to be committed, or 0. */
  public long committedHint() {
    return Math.min(storage.committedHint(), storage.lastIndex());
  }

  /**
   * Saves the commit index up to the durable index. After a crash, entries that were not durable
   * might be replaced by older ones that were never committed. Saving needs a sync of its own, so
   * it is postponed while an entry waits for a sync.
   */
  public void saveCommittedHint(long index) {
    long safe = Math.min(index, durableIndex);
    if (safe > savedHint && durableIndex >= lastIndex()) {
      savedHint = safe;
      storage.saveCommittedHint(safe);
      noteChange();
    }
  }

  /** Replaces term and vote. */
  public void save(HardState state) {
    storage.saveHardState(state);
    noteChange();
    hardStateSync = changeSync;
  }

  /**
   * Begins a sync of all changes since the last one began.
   *
   * @return the sync, or null if there are no changes or a sync is running
   */
  public @Nullable Runnable beginSync() {
    if (isSyncing() || changeSync <= syncsBegun) {
      return null;
    }
    Runnable sync = storage.beginSync();
    syncsBegun++;
    syncingTo = lastIndex();
    return sync == null ? () -> {} : sync;
  }

  /** Handles the successful end of the sync that was begun last. */
  public void syncEnded() {
    Invariant.check(isSyncing(), "sync %d ends twice", syncsEnded);
    syncsEnded = syncsBegun;
    durableIndex = syncingTo;
  }

  /** Returns whether a sync is running. */
  public boolean isSyncing() {
    return syncsEnded < syncsBegun;
  }

  /** Returns the number of syncs that have ended. */
  public long syncsEnded() {
    return syncsEnded;
  }

  /** Returns the number of the sync that covers all changes up to now. */
  public long coveringSync() {
    return changeSync;
  }

  /** Returns whether the current term and vote are durable. */
  public boolean isHardStateDurable() {
    return hardStateSync <= syncsEnded;
  }

  /**
   * Saves a snapshot of the applied entries and keeps the last of them readable.
   *
   * @param keepEntries the maximum number of entries to keep
   * @param keepBytes the maximum size of the entries to keep, in bytes
   */
  public void compact(Snapshot snapshot, int keepEntries, long keepBytes) {
    long kept = snapshot.index() + 1;
    long earliest = Math.max(firstIndex(), kept - keepEntries);
    long bytes = 0;
    while (kept > earliest && bytes + entry(kept - 1).data().length <= keepBytes) {
      kept--;
      bytes += entry(kept).data().length;
    }
    storage.saveSnapshot(snapshot, Math.max(1, kept));
    noteSnapshot(snapshot);
    noteChange();
  }

  /** Saves a snapshot of the leader; keeps the entries after it if the log matches it. */
  public void install(Snapshot snapshot) {
    if (term(snapshot.index()) == snapshot.term()) {
      storage.saveSnapshot(snapshot, snapshot.index() + 1);
    } else {
      storage.resetTo(snapshot);
      memberships.clear();
      // The old entry at the snapshot's index differs, so that index is not durable yet.
      notDurableFrom(snapshot.index());
    }
    noteSnapshot(snapshot);
    noteChange();
  }

  /** Returns the current membership: the latest in the log, committed or not. */
  public Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /** Returns the index of the entry or snapshot that set the current membership. */
  public long membershipIndex() {
    return memberships.lastKey();
  }

  /** Returns the membership in force at an index. */
  public Membership membershipAt(long index) {
    return memberships.floorEntry(index).getValue();
  }

  private void noteChange() {
    changeSync = syncsBegun + 1;
  }

  private void notDurableFrom(long index) {
    durableIndex = Math.min(durableIndex, index - 1);
    syncingTo = Math.min(syncingTo, index - 1);
  }

  private void noteSnapshot(Snapshot s) {
    memberships.headMap(s.index(), true).clear();
    memberships.put(s.index(), s.membership());
  }

  private void noteMembership(LogEntry e) {
    if (e.type() == EntryType.MEMBERSHIP) {
      Membership next = RaftCodec.decodeMembership(e.data());
      Invariant.check(
          membership().isEmpty() || membership().distance(next) <= 1,
          "membership changes by more than one voter at index %d",
          e.index());
      memberships.put(e.index(), next);
    }
  }
}
