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
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/** The log of one replica: storage, memberships in the log, and what is durable. */
public final class RaftLog {
  private final LogStorage storage;
  private final NavigableMap<Long, Membership> memberships = new TreeMap<>();
  private long durableIndex;
  private boolean dirty;

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

  /** Returns the index of the first entry that is held. */
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

  /** Returns whether the replica has never received anything. */
  public boolean isEmpty() {
    return lastIndex() == 0;
  }

  /** Returns the term of an entry, or -1 if the log does not hold it. */
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

  /** Returns whether a log with the given last entry is at least as recent as this one. */
  public boolean isCoveredBy(long index, long term) {
    return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
  }

  /** Returns an entry that is held. */
  public LogEntry entry(long index) {
    return storage.entry(index);
  }

  /**
   * Returns the entries from an index up to a last index.
   *
   * @param from the first index, at least {@link #firstIndex()}
   * @param last the last index
   * @param maxBytes the size after which no further entry is taken; the first is always taken
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

  /** Returns the smallest index whose entry, and all up to the given one, have the same term. */
  public long firstIndexOfTerm(long index) {
    long i = index;
    while (i > firstIndex() && term(i - 1) == term(index)) {
      i--;
    }
    return i;
  }

  /** Appends one entry behind the last. */
  public LogEntry append(long term, EntryType type, byte[] data) {
    LogEntry e = new LogEntry(lastIndex() + 1, term, type, data);
    append(List.of(e));
    return e;
  }

  /** Appends entries that continue the log. */
  public void append(List<LogEntry> entries) {
    storage.append(entries);
    entries.forEach(this::noteMembership);
    dirty = true;
  }

  /** Drops all entries from an index on. */
  public void truncateFrom(long index) {
    storage.truncateFrom(index);
    memberships.tailMap(index, true).clear();
    durableIndex = Math.min(durableIndex, index - 1);
    dirty = true;
  }

  /** Replaces term and vote. */
  public void save(HardState state) {
    storage.saveHardState(state);
    dirty = true;
  }

  /** Makes everything durable that changed since the last call. */
  public void sync() {
    if (!dirty) {
      return;
    }
    storage.sync();
    dirty = false;
    durableIndex = lastIndex();
  }

  /** Replaces applied entries by a snapshot and keeps some of them readable. */
  public void compact(Snapshot snapshot, int keepEntries) {
    storage.saveSnapshot(snapshot, Math.max(1, snapshot.index() + 1 - keepEntries));
    noteSnapshot(snapshot);
  }

  /** Replaces the state by a snapshot of the leader; keeps entries behind it that agree with it. */
  public void install(Snapshot snapshot) {
    if (term(snapshot.index()) == snapshot.term()) {
      storage.saveSnapshot(snapshot, snapshot.index() + 1);
    } else {
      storage.resetTo(snapshot);
      memberships.clear();
      durableIndex = snapshot.index();
    }
    noteSnapshot(snapshot);
  }

  /** Returns the membership in force: the latest in the log, committed or not. */
  public Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /** Returns the index of the entry that set the membership in force. */
  public long membershipIndex() {
    return memberships.lastKey();
  }

  /** Returns the membership in force at an index. */
  public Membership membershipAt(long index) {
    return memberships.floorEntry(index).getValue();
  }

  private void noteSnapshot(Snapshot s) {
    memberships.headMap(s.index(), true).clear();
    memberships.put(s.index(), s.membership());
  }

  private void noteMembership(LogEntry e) {
    if (e.type() == EntryType.MEMBERSHIP) {
      Membership next = MessagePackCodec.decode(e.data(), Membership.class);
      Invariant.check(
          membership().isEmpty() || membership().distance(next) <= 1,
          "membership changes by more than one voter at index %d",
          e.index());
      memberships.put(e.index(), next);
    }
  }
}
