package org.ebonypond.junit.consensus;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Checks across all replicas what Raft guarantees; throws {@code INVARIANT_VIOLATED}. */
public final class SafetyChecker {
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<Long, Applied> journal = new HashMap<>();
  private long acknowledged;

  /** Notes a leader; there is one at most in each term. */
  public void leader(long term, String identity) {
    String other = leaders.putIfAbsent(term, identity);
    check(
        other == null || other.equals(identity),
        "term " + term + " has the leaders " + other + " and " + identity);
  }

  /** Notes an applied command; it and its result are the same on every replica. */
  public void applied(long index, byte[] command, long hash) {
    Applied other = journal.putIfAbsent(index, new Applied(command, hash));
    check(
        other == null || (Arrays.equals(other.command, command) && other.hash == hash),
        "committed command at index " + index + " differs between replicas");
  }

  /** Notes a restored snapshot; its state is that of the replicas that applied the commands. */
  public void restored(long index, long hash) {
    Applied other = journal.get(index);
    check(
        index == 0 || (other != null && other.hash == hash),
        "restored state at index " + index + " differs from the applied one");
  }

  /** Notes that a proposer was told that its command is committed at an index. */
  public void acknowledged(long index, byte[] command) {
    Applied a = journal.get(index);
    check(
        a != null && Arrays.equals(a.command, command),
        "acknowledged command at index " + index + " is not the committed one");
    acknowledged = Math.max(acknowledged, index);
  }

  /** Checks that a replica that may act as the leader has applied all acknowledged commands. */
  public void mayLead(String name, long appliedIndex) {
    check(
        appliedIndex >= acknowledged,
        name + " would serve a stale read: applied " + appliedIndex + " of " + acknowledged);
  }

  /** Checks that two logs agree up to the last index at which they have the same term. */
  public void logsMatch(LogStorage a, LogStorage b) {
    long first = Math.max(a.firstIndex(), b.firstIndex());
    boolean agree = false;
    for (long i = Math.min(a.lastIndex(), b.lastIndex()); i >= first; i--) {
      LogEntry x = a.entry(i);
      LogEntry y = b.entry(i);
      agree |= x.term() == y.term();
      check(!agree || x.equals(y), "logs differ at index " + i + ": " + x + " and " + y);
    }
  }

  /** Returns the largest acknowledged index. */
  public long acknowledgedIndex() {
    return acknowledged;
  }

  /** Checks that exactly one of the replicas at most may act as the leader. */
  public void atMostOneLeads(List<String> names) {
    check(names.size() <= 1, "several replicas hold the lease: " + names);
  }

  private static void check(boolean holds, String detail) {
    if (!holds) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, detail);
    }
  }

  private record Applied(byte[] command, long hash) {}
}
