package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.consensus.HashingStateMachine;
import org.ebonypond.junit.consensus.MemoryDisk;
import org.ebonypond.junit.consensus.SafetyChecker;
import org.junit.jupiter.api.Test;

/** Rules of a single replica, b; the test sends the messages of its peers a and c. */
class RaftNodeTest {
  private static final List<String> NAMES = List.of("a", "b", "c");

  private final MemoryDisk disk = new MemoryDisk();
  private final LogStorage storage =
      new DiskLogStorage(disk, "b", new Random(1), EventSink.NONE, 10_000);
  private final Membership members =
      new Membership(Map.of("a", "ida", "b", storage.identity(), "c", "idc"));
  private RaftNode node = start(0);

  private RaftNode start(long now) {
    return start(now, RaftConfig.standard("b", NAMES));
  }

  private RaftNode start(long now, RaftConfig config) {
    LogStorage s = new DiskLogStorage(disk, "b", new Random(1), EventSink.NONE, 10_000);
    HashingStateMachine machine = new HashingStateMachine(new SafetyChecker());
    return new RaftNode(config, s, machine, new Random(1), EventSink.NONE, now);
  }

  private RaftNode startWithoutLeases(long now) {
    return start(
        now,
        new RaftConfig(
            "b", NAMES, 100, 500, 1_000, 10_000, 1_000, 1 << 20, 1 << 20, 3, 3_000, false));
  }

  private static LogEntry command(long index, long term) {
    return new LogEntry(index, term, EntryType.COMMAND, new byte[] {1});
  }

  private LogEntry membershipEntry() {
    return new LogEntry(1, 1, EntryType.MEMBERSHIP, RaftCodec.encodeMembership(members));
  }

  private void append(long now, long term, long prev, long prevTerm, LogEntry... entries) {
    node.receive(
        now,
        "a",
        new RaftMessage.AppendRequest(
            term, "ida", node.identity(), prev, prevTerm, 1, 0, List.of(entries)));
    node.flush(now);
  }

  private RaftMessage.VoteReply vote(long now, long term, boolean preVote) {
    node.receive(
        now, "c", new RaftMessage.VoteRequest(term, "idc", node.identity(), 90, 90, preVote));
    return (RaftMessage.VoteReply) node.flush(now).messages().get(0).message();
  }

  /** Makes b the leader of term 2 with the votes of c, at the returned time. */
  private long elect() {
    long now = 2_000;
    node.tick(now);
    node.flush(now);
    node.receive(now, "c", new RaftMessage.VoteReply(2, "idc", true, true));
    node.receive(now, "c", new RaftMessage.VoteReply(2, "idc", false, true));
    node.flush(now);
    assertTrue(node.isLeader());
    return now;
  }

  /**
   * Guards against a leader that steps down before its busy followers can answer: after a loss of
   * power, elections on small processors repeated for seconds.
   */
  @Test
  void leaderWithoutLeaseWaitsForBusyFollowers() {
    node = startWithoutLeases(0);
    append(1_000, 1, 0, 0, membershipEntry());
    long elected = elect();
    node.tick(elected + 1_999);
    assertTrue(node.isLeader());
    assertFalse(node.mayLead(elected + 1_999));
    node.tick(elected + 2_000);
    assertFalse(node.isLeader());
  }

  /** Returns when the next pre-vote is requested, in milliseconds. */
  private long nextPreVote(long from) {
    for (long t = from; t < from + 2_000; t += 10) {
      node.tick(t);
      if (!node.flush(t).messages().isEmpty()) {
        return t;
      }
    }
    throw new AssertionError("no pre-vote within 2 s");
  }

  /**
   * Guards against a candidate that waits for a lost vote until its doubled timeout ends: replicas
   * on slow processors had no leader for seconds after each connection that was replaced.
   */
  @Test
  void candidateAsksThoseAgainThatHaveNotAnswered() {
    node = startWithoutLeases(0);
    append(1_000, 1, 0, 0, membershipEntry());
    long now = 2_000;
    for (int term = 2; term <= 4; term++) {
      node.tick(now);
      node.flush(now);
      node.receive(now, "c", new RaftMessage.VoteReply(term, "idc", true, true));
      node.flush(now);
      assertEquals(RaftRole.CANDIDATE, node.role());
      now = term == 4 ? now : now + 4_000;
      node.tick(now);
      node.flush(now);
    }
    // The candidate of term 4 has lost two elections, so it waits for at least 2,000 ms.
    node.tick(now + 1_001);
    List<RaftMessage> repeated = requests(now + 1_001);
    assertEquals(2, repeated.size(), repeated.toString());
    node.tick(now + 1_100);
    assertEquals(List.of(), requests(now + 1_100));
  }

  /** Returns the requests for votes of the current term that are sent at a time. */
  private List<RaftMessage> requests(long now) {
    return node.flush(now).messages().stream()
        .map(RaftOutput.Outbound::message)
        .filter(m -> m instanceof RaftMessage.VoteRequest r && !r.preVote() && r.term() == 4)
        .toList();
  }

  /** Guards against pre-votes that pile up at a peer that is slow to answer them. */
  @Test
  void preVoteIsRepeatedAfterTheElectionTimeoutOnceAnyPeerHasAnswered() {
    node = startWithoutLeases(0);
    append(1_000, 1, 0, 0, membershipEntry());
    node = startWithoutLeases(10_000);
    long first = nextPreVote(10_000);
    assertTrue(first - 10_000 < 500, "the peers may be starting as well");
    node.receive(first, "c", new RaftMessage.VoteReply(1, "idc", true, false));
    long second = nextPreVote(first + 10);
    long third = nextPreVote(second + 10);
    assertTrue(third - second >= 500, third - second + " ms");
  }

  /** Guards against a second leader while the first holds its lease. */
  @Test
  void noVoteWithinAnElectionTimeoutOfLeaderContact() {
    append(1_000, 1, 0, 0, membershipEntry());
    assertFalse(vote(1_400, 2, true).granted());
    assertFalse(vote(1_400, 2, false).granted());
    assertEquals(1, node.term());
    assertTrue(vote(1_500, 2, true).granted());
    assertTrue(vote(1_500, 2, false).granted());
  }

  /** Guards against a vote after a restart while a leader still holds its lease. */
  @Test
  void noVoteWithinAnElectionTimeoutOfRestart() {
    append(1_000, 1, 0, 0, membershipEntry());
    node = start(1_010);
    assertFalse(vote(1_400, 2, false).granted());
    assertTrue(vote(1_510, 2, false).granted());
  }

  /** Guards against two votes in one term across a restart. */
  @Test
  void oneVoteInEachTerm() {
    append(1_000, 1, 0, 0, membershipEntry());
    assertTrue(vote(2_000, 5, false).granted());
    disk.crash(null);
    node = start(2_000);
    node.receive(3_000, "a", new RaftMessage.VoteRequest(5, "ida", node.identity(), 90, 90, false));
    RaftMessage.VoteReply r = (RaftMessage.VoteReply) node.flush(3_000).messages().get(0).message();
    assertFalse(r.granted());
  }

  /** Guards against a vote that is sent before it is durable and cast again after a crash. */
  @Test
  void voteWaitsForItsSync() {
    append(1_000, 1, 0, 0, membershipEntry());
    node.receive(2_000, "c", new RaftMessage.VoteRequest(5, "idc", node.identity(), 90, 90, false));
    assertNotNull(node.beginSync(), "the crash precedes the first write of this sync");
    node.receive(4_900, "c", new RaftMessage.VoteRequest(5, "idc", node.identity(), 90, 90, false));
    assertTrue(node.advance(4_900).messages().isEmpty());
    disk.crash(null);
    node = start(5_000);
    // The vote for c was lost before it was sent, so the replica may vote for a.
    node.receive(6_000, "a", new RaftMessage.VoteRequest(5, "ida", node.identity(), 90, 90, false));
    final Runnable sync = Objects.requireNonNull(node.beginSync());
    assertTrue(node.advance(6_000).messages().isEmpty());
    sync.run();
    assertTrue(node.advance(8_900).messages().isEmpty());
    node.syncEnded(9_000);
    assertEquals(
        List.of(
            new RaftOutput.Outbound(
                "a", new RaftMessage.VoteReply(5, node.identity(), false, true))),
        node.advance(9_000).messages());
    disk.crash(null);
    node = start(9_000);
    assertFalse(vote(10_000, 5, false).granted());
  }

  /** Guards against acknowledgements before the sync and heartbeats delayed by it. */
  @Test
  void acknowledgementWaitsForItsSyncAndHeartbeatDoesNot() {
    append(1_000, 1, 0, 0, membershipEntry());
    receiveEntries(1_100, command(2, 1));
    final Runnable first = Objects.requireNonNull(node.beginSync());
    assertEquals(List.of(), acknowledged(1_100));
    receiveEntries(1_200);
    assertEquals(List.of(1L), acknowledged(1_200));
    receiveEntries(1_300, command(2, 1), command(3, 1));
    assertEquals(List.of(1L), acknowledged(1_300));
    assertNull(node.beginSync(), "one sync at a time");
    first.run();
    node.syncEnded(4_100);
    assertEquals(List.of(2L), acknowledged(4_100));
    final Runnable second = Objects.requireNonNull(node.beginSync());
    second.run();
    node.syncEnded(4_200);
    assertEquals(List.of(3L), acknowledged(4_200));
  }

  /** Guards against acknowledging entries that were replaced during their sync. */
  @Test
  void replacedEntriesAreNotAcknowledged() {
    append(1_000, 1, 0, 0, membershipEntry());
    receiveEntries(1_100, command(2, 1), command(3, 1));
    final Runnable first = Objects.requireNonNull(node.beginSync());
    node.receive(
        2_000,
        "c",
        new RaftMessage.AppendRequest(
            2, "idc", node.identity(), 1, 1, 1, 0, List.of(command(2, 2))));
    first.run();
    node.syncEnded(2_100);
    assertEquals(List.of(), acknowledged(2_100));
    assertEquals(1, node.lastDurableIndex());
    Objects.requireNonNull(node.beginSync()).run();
    node.syncEnded(2_200);
    assertEquals(List.of(2L), acknowledged(2_200));
  }

  /** Guards against a leader that counts its own entries before they are durable. */
  @Test
  void ownEntriesCountOnlyWhenDurable() {
    append(1_000, 1, 0, 0, membershipEntry());
    final long now = elect();
    node.receive(now, "c", new RaftMessage.AppendReply(2, "idc", true, 2, now));
    node.flush(now);
    node.propose(now, 1, new byte[] {1});
    final Runnable sync = Objects.requireNonNull(node.beginSync());
    assertTrue(
        node.advance(now).messages().stream()
            .anyMatch(
                m ->
                    m.to().equals("c")
                        && m.message() instanceof RaftMessage.AppendRequest r
                        && r.entries().size() == 1));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "idc", true, 3, now));
    node.advance(now);
    assertEquals(2, node.commitIndex());
    sync.run();
    node.syncEnded(now);
    assertEquals(1, node.advance(now).completed().size());
    assertEquals(3, node.commitIndex());
  }

  /** Delivers entries from index 2, or a heartbeat, of leader a in term 1. */
  private void receiveEntries(long now, LogEntry... entries) {
    node.receive(
        now,
        "a",
        new RaftMessage.AppendRequest(1, "ida", node.identity(), 1, 1, 1, now, List.of(entries)));
  }

  /** Returns the indexes of the successful acknowledgements in the next output. */
  private List<Long> acknowledged(long now) {
    return node.advance(now).messages().stream()
        .map(m -> (RaftMessage.AppendReply) m.message())
        .filter(RaftMessage.AppendReply::success)
        .map(RaftMessage.AppendReply::index)
        .toList();
  }

  /** Guards against counting votes of an identity that is not in the membership. */
  @Test
  void voteOfAnotherIdentityDoesNotCount() {
    append(1_000, 1, 0, 0, membershipEntry());
    node.tick(2_000);
    node.receive(2_000, "c", new RaftMessage.VoteReply(2, "new identity", true, true));
    assertEquals(RaftRole.PRE_CANDIDATE, node.role());
    node.receive(2_000, "c", new RaftMessage.VoteReply(2, "idc", true, true));
    assertEquals(RaftRole.CANDIDATE, node.role());
    node.receive(2_000, "c", new RaftMessage.VoteReply(2, "new identity", false, true));
    assertEquals(RaftRole.CANDIDATE, node.role());
  }

  /** Guards against entries of an earlier term that are committed and then replaced. */
  @Test
  void entriesOfEarlierTermAreNotCommittedAlone() {
    append(1_000, 1, 0, 0, membershipEntry(), command(2, 1));
    final long now = elect();
    assertEquals(1, node.commitIndex());
    node.receive(now, "c", new RaftMessage.AppendReply(2, "idc", true, 2, now));
    node.flush(now);
    assertEquals(1, node.commitIndex());
    assertFalse(node.mayLead(now));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "idc", true, 3, now));
    node.flush(now);
    assertEquals(3, node.commitIndex());
    assertTrue(node.mayLead(now + 449));
    assertFalse(node.mayLead(now + 450));
  }

  /** Guards against counting replies of another identity for the quorum. */
  @Test
  void replyOfAnotherIdentityDoesNotCount() {
    append(1_000, 1, 0, 0, membershipEntry());
    final long now = elect();
    node.receive(now, "c", new RaftMessage.AppendReply(2, "new identity", true, 2, now));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "new identity", true, 2, now));
    node.flush(now);
    assertEquals(1, node.commitIndex());
    assertFalse(node.mayLead(now));
  }

  /** Guards against disjoint quorums while a lost disk is replaced. */
  @Test
  void identityIsReplacedInTwoCommittedChanges() {
    append(1_000, 1, 0, 0, membershipEntry());
    final long now = elect();
    node.receive(now, "a", new RaftMessage.AppendReply(2, "ida", true, 2, now));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "new", false, 1, now));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "new", true, 2, now));
    node.flush(now);
    assertEquals(List.of("a", "b"), List.copyOf(node.membership().members().keySet()));
    node.flush(now);
    assertEquals(2, node.membership().members().size(), "the first change is not committed");
    node.receive(now, "a", new RaftMessage.AppendReply(2, "ida", true, 3, now));
    node.receive(now, "c", new RaftMessage.AppendReply(2, "new", true, 3, now));
    node.flush(now);
    assertTrue(node.membership().contains("c", "new"));
  }

  /** Guards against following a second leader in the same term. */
  @Test
  void secondLeaderInOneTermViolatesAnInvariant() {
    append(1_000, 1, 0, 0, membershipEntry());
    RaftMessage m = new RaftMessage.AppendRequest(1, "idc", node.identity(), 1, 1, 1, 0, List.of());
    EbonypondException e =
        assertThrows(EbonypondException.class, () -> node.receive(1_100, "c", m));
    assertEquals(ErrorCode.INVARIANT_VIOLATED, e.code());
  }

  /** Guards against the replacement of a committed entry. */
  @Test
  void replacingCommittedEntryViolatesAnInvariant() {
    append(1_000, 1, 0, 0, membershipEntry());
    RaftMessage m =
        new RaftMessage.AppendRequest(
            2, "ida", node.identity(), 0, 0, 1, 0, List.of(command(1, 2)));
    EbonypondException e =
        assertThrows(EbonypondException.class, () -> node.receive(1_100, "a", m));
    assertEquals(ErrorCode.INVARIANT_VIOLATED, e.code());
  }
}
