package org.ebonypond.consensus.internal;

import java.util.List;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.Snapshot;

/** Adds the entries and snapshots of a leader to the log of a follower or learner. */
public final class LogReceiver {
  private final RaftLog log;
  private final Applier applier;
  private final SnapshotReceiver parts = new SnapshotReceiver();

  /** Creates a receiver for a log. */
  public LogReceiver(RaftLog log, Applier applier) {
    this.log = log;
    this.applier = applier;
  }

  /**
   * Handles an append request.
   *
   * @param term the term of the receiver, for the reply
   */
  public RaftMessage.AppendReply append(long term, RaftMessage.AppendRequest m) {
    long prev = m.prevIndex();
    long commit = applier.commit();
    // Entries up to the commit index are the same on every later leader.
    boolean agrees = prev < commit || (prev <= log.lastIndex() && log.term(prev) == m.prevTerm());
    if (!agrees) {
      long hint = prev > log.lastIndex() ? log.lastIndex() + 1 : log.firstIndexOfTerm(prev);
      return reply(term, false, Math.max(commit + 1, hint), m.sentAt());
    }
    for (LogEntry e : m.entries()) {
      checkAgreement(e, commit);
    }
    appendMissing(m.entries(), commit);
    long agreed = prev + m.entries().size();
    applier.commitTo(Math.min(m.commit(), agreed));
    return reply(term, true, Math.max(agreed, applier.commit()), m.sentAt());
  }

  /**
   * Handles a part of a snapshot.
   *
   * @param term the term of the receiver, for the reply
   */
  public RaftMessage snapshot(long term, RaftMessage.SnapshotRequest m) {
    if (m.index() > applier.commit()) {
      Snapshot s = parts.accept(m);
      if (s == null) {
        return new RaftMessage.SnapshotReply(
            term, log.identity(), m.index(), parts.nextOffset(), m.sentAt());
      }
      applier.install(s);
    }
    return reply(term, true, applier.commit(), m.sentAt());
  }

  private void checkAgreement(LogEntry e, long commit) {
    boolean stored = e.index() >= log.firstIndex() && e.index() <= log.lastIndex();
    if (!stored) {
      return;
    }
    LogEntry own = log.entry(e.index());
    Invariant.check(
        own.term() == e.term() || e.index() > commit,
        "committed entry %s would be replaced by %s",
        own,
        e);
    Invariant.check(
        own.term() != e.term() || own.equals(e), "entries differ in one term: %s, %s", own, e);
  }

  private void appendMissing(List<LogEntry> entries, long commit) {
    for (int i = 0; i < entries.size(); i++) {
      LogEntry e = entries.get(i);
      boolean present = e.index() <= log.lastIndex();
      if (e.index() <= commit || (present && log.term(e.index()) == e.term())) {
        continue;
      }
      if (present) {
        log.truncateFrom(e.index());
      }
      log.append(entries.subList(i, entries.size()));
      return;
    }
  }

  private RaftMessage.AppendReply reply(long term, boolean success, long index, long sentAt) {
    return new RaftMessage.AppendReply(term, log.identity(), success, index, sentAt);
  }
}
