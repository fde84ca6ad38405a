package org.ebonypond.junit.consensus;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Checks the safety properties of Raft across replicas; throws {@code INVARIANT_VIOLATED}. */
public final class SafetyChecker {
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<Long, Applied> appliedByIndex = new HashMap<>();
  private final TreeMap<Long, Long> acknowledgedByTime = new TreeMap<>();
  private long maxAcknowledged;

  /** Records a leader and checks that its term has no other one. */
  public void onLeader(long term, String identity) {
    String other = leaders.putIfAbsent(term, identity);
    check(
        other == null || other.equals(identity),
        "term " + term + " has two leaders: " + other + " and " + identity);
  }

  /** Records an applied command and checks that all replicas apply the same, with one result. */
  public void onApplied(long index, byte[] command, long hash) {
    Applied other = appliedByIndex.putIfAbsent(index, new Applied(command, hash));
    check(
        other == null || (Arrays.equals(other.command, command) && other.hash == hash),
        "committed command at index " + index + " differs between replicas");
  }

  /** Checks that a restored snapshot has the state that applying the commands has led to. */
  public void onRestored(long index, long hash) {
    Applied other = appliedByIndex.get(index);
    check(
        index == 0 || (other != null && other.hash == hash),
        "restored state at index " + index + " differs from the applied one");
  }

  /**
   * Records an index that was acknowledged to a proposer and checks the command there.
   *
   * @param now the cluster time in milliseconds
   */
  public void onAcknowledged(long now, long index, byte[] command) {
    Applied a = appliedByIndex.get(index);
    check(
        a != null && Arrays.equals(a.command, command),
        "acknowledged command at index " + index + " is not the committed one");
    maxAcknowledged = Math.max(maxAcknowledged, index);
    acknowledgedByTime.put(now, maxAcknowledged);
  }

  /** Checks that a replica has applied every command that was acknowledged before a time. */
  public void checkConfirmed(String name, long appliedIndex, long confirmedAt) {
    Map.Entry<Long, Long> before = acknowledgedByTime.lowerEntry(confirmedAt);
    check(
        before == null || appliedIndex >= before.getValue(),
        name + " claims the state of " + confirmedAt + " ms, but applied only " + appliedIndex);
  }

  /** Checks that a replica that may act as the leader has applied every acknowledged command. */
  public void checkLeaderIsCurrent(String name, long appliedIndex) {
    check(
        appliedIndex >= maxAcknowledged,
        name + " would serve a stale read: applied " + appliedIndex + " of " + maxAcknowledged);
  }

  /** Checks that two logs agree up to the last index at which they have the same term. */
  public void checkLogsMatch(LogStorage a, LogStorage b) {
    long first = Math.max(a.firstIndex(), b.firstIndex());
    boolean termsAgree = false;
    for (long i = Math.min(a.lastIndex(), b.lastIndex()); i >= first; i--) {
      LogEntry x = a.entry(i);
      LogEntry y = b.entry(i);
      termsAgree |= x.term() == y.term();
      check(!termsAgree || x.equals(y), "logs differ at index " + i + ": " + x + " and " + y);
    }
  }

  /** Returns the highest acknowledged index. */
  public long acknowledgedIndex() {
    return maxAcknowledged;
  }

  /** Checks that at most one replica may act as the leader. */
  public void checkAtMostOneLeader(List<String> names) {
    check(names.size() <= 1, "several replicas hold the lease: " + names);
  }

  private static void check(boolean holds, String detail) {
    if (!holds) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, detail);
    }
  }

  private record Applied(byte[] command, long hash) {}
}
