package org.ebonypond.consensus.internal;

import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;

/** Applies committed entries to the state machine and replaces applied entries by snapshots. */
public final class Applier {
  private static final byte[] NO_DATA = {};

  /**
   * A snapshot is also written after this many bytes of entries, because entries are kept in
   * memory; this is an eighth of a small replica's heap of 64 MB.
   */
  private static final long COMPACT_AFTER_BYTES = 8 << 20;

  private final RaftConfig config;
  private final RaftLog log;
  private final StateMachine machine;
  private final Proposals proposals;
  private final EventSink events;
  private long commit;
  private long applied;
  private long bytesSinceSnapshot;

  /** Creates an applier and restores the state machine from the stored snapshot, if present. */
  public Applier(
      RaftConfig config, RaftLog log, StateMachine machine, Proposals proposals, EventSink events) {
    this.config = config;
    this.log = log;
    this.machine = machine;
    this.proposals = proposals;
    this.events = events;
    Snapshot s = log.snapshot();
    if (s != null) {
      restore(s);
    }
    commit = Math.max(commit, log.committedHint());
  }

  /** Returns the last index that is known to be committed. */
  public long commit() {
    return commit;
  }

  /** Returns the last applied index. */
  public long applied() {
    return applied;
  }

  /** Sets the commit index; an index lower than the current one is ignored. */
  public void commitTo(long index) {
    Invariant.check(
        index <= log.lastIndex(),
        "commit index %d is beyond the end of the log at %d",
        index,
        log.lastIndex());
    commit = Math.max(commit, index);
  }

  /** Applies all committed entries. */
  public void applyCommitted() {
    while (applied < commit) {
      LogEntry e = log.entry(applied + 1);
      byte[] result = NO_DATA;
      if (e.type() == EntryType.COMMAND) {
        result = machine.apply(e.index(), e.data());
      } else if (e.type() == EntryType.MEMBERSHIP) {
        reportAdmissions(e.index());
      }
      applied = e.index();
      bytesSinceSnapshot += e.data().length;
      proposals.applied(e.index(), result);
    }
  }

  /** Replaces the log and the state with a snapshot of the leader. */
  public void install(Snapshot s) {
    Invariant.check(s.index() > commit, "snapshot %d precedes commit %d", s.index(), commit);
    log.install(s);
    restore(s);
    emit(EventCode.SNAPSHOT_INSTALLED, Map.of("index", String.valueOf(s.index())));
  }

  /** Writes a snapshot if enough entries have been applied since the last one. */
  public void compact() {
    boolean due =
        applied - log.snapshotIndex() >= config.compactAfter()
            || bytesSinceSnapshot >= COMPACT_AFTER_BYTES;
    if (!due) {
      return;
    }
    bytesSinceSnapshot = 0;
    Membership m = log.membershipAt(applied);
    log.compact(
        new Snapshot(applied, log.term(applied), m, machine.snapshot()),
        config.keepEntries(),
        COMPACT_AFTER_BYTES);
    emit(EventCode.SNAPSHOT_WRITTEN, Map.of("index", String.valueOf(applied)));
  }

  /**
   * Returns committed entries.
   *
   * @param index the last index that the reader has
   * @param max the maximum number of entries
   */
  public CommittedEntries entriesAfter(long index, int max) {
    Snapshot s = index + 1 < log.firstIndex() ? log.snapshot() : null;
    long from = s == null ? index + 1 : s.index() + 1;
    long last = Math.min(applied, from + max - 1);
    return new CommittedEntries(s, log.slice(from, last, config.maxBatchBytes()), applied);
  }

  private void restore(Snapshot s) {
    machine.restore(s.data());
    commit = s.index();
    applied = s.index();
    bytesSinceSnapshot = 0;
  }

  private void reportAdmissions(long index) {
    Membership before = log.membershipAt(index - 1);
    if (before.isEmpty()) {
      return;
    }
    Map<String, String> added = new TreeMap<>(log.membershipAt(index).members());
    added.keySet().removeAll(before.members().keySet());
    added.forEach(
        (name, id) -> emit(EventCode.LEARNER_ADMITTED, Map.of("replica", name, "identity", id)));
  }

  private void emit(EventCode code, Map<String, String> fields) {
    events.emit(code, "replica/" + config.self(), fields);
  }
}
