package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.junit.consensus.FakeReplica;
import org.ebonypond.junit.consensus.RaftCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClusterFailureTest {
  private static final List<String> NAMES = List.of("a", "b", "c");

  private final RaftCluster cluster = new RaftCluster(7, 3, 1_000);

  private void startAndCommit(int commands) {
    cluster.startAll();
    for (int i = 0; i < commands; i++) {
      cluster.commit("command " + i);
    }
  }

  private FakeReplica otherThan(FakeReplica r) {
    return cluster.replicas().stream().filter(o -> o != r).findFirst().orElseThrow();
  }

  /** Guards against forming a group without one of its replicas. */
  @Test
  void firstMembershipNeedsAllReplicas() {
    cluster.start("a");
    cluster.start("b");
    cluster.advance(10_000);
    assertNull(cluster.leader());
    assertEquals(0, cluster.replica("a").storage().lastIndex());
    cluster.start("c");
    cluster.commit("first");
    cluster.awaitConverged();
    for (FakeReplica r : cluster.replicas()) {
      assertEquals(r.node().identity(), r.node().membership().identityOf(r.name()));
    }
  }

  /** Guards against a second first membership when a replica with an empty disk joins later. */
  @Test
  void replicaWithEmptyDiskFormsNoSecondMembership() {
    startAndCommit(3);
    cluster.awaitConverged();
    cluster.wipe("a");
    cluster.kill("b");
    cluster.start("a");
    cluster.advance(10_000);
    assertNull(cluster.leader());
    assertFalse(cluster.replica("a").node().isVoter());
    cluster.start("b");
    cluster.awaitConverged();
    assertEquals(3, cluster.replica("a").machine().count());
  }

  /** Guards against two first memberships when the replica that forms them loses its disk. */
  @Test
  void diskLostWhileTheFirstMembershipIsFormed() {
    for (int millis = 500; millis < 1_200; millis += 7) {
      RaftCluster group = new RaftCluster(millis, 3, 1_000);
      group.network().setFaults(60, 10, 10);
      group.startAll();
      group.advance(millis);
      group.wipe("a");
      group.advance(millis % 90);
      group.start("a");
      group.commit("first");
      group.awaitConverged();
      group.replicas().forEach(r -> assertEquals(1, r.machine().count()));
    }
  }

  /** Guards against the loss of acknowledged commands when any one process is killed. */
  @Test
  void eachReplicaKilledInTurn() {
    startAndCommit(5);
    for (String name : NAMES) {
      cluster.kill(name);
      cluster.commit("without " + name);
      cluster.start(name);
      cluster.awaitConverged();
    }
    cluster.replicas().forEach(r -> assertEquals(8, r.machine().count()));
  }

  /** Guards against acknowledging commands that are not synced on a majority. */
  @Test
  void allReplicasKilledAtOnce() {
    startAndCommit(20);
    NAMES.forEach(cluster::killWhileWriting);
    cluster.startAll();
    cluster.commit("after");
    cluster.awaitConverged();
    cluster.replicas().forEach(r -> assertEquals(21, r.machine().count()));
  }

  /** Guards against a slow change of leader: the view leases of entries expire after 3 s. */
  @Test
  void newLeaderWithinTwoSeconds() {
    startAndCommit(1);
    FakeReplica old = cluster.awaitLeader();
    cluster.kill(old.name());
    cluster.await(2_000, () -> cluster.leader() != null);
  }

  /** Guards against a vote that is cast twice, with the old and the new identity of a replica. */
  @Test
  void wipedReplicaReturnsAsLearnerAndDoesNotVote() {
    startAndCommit(5);
    cluster.awaitConverged();
    FakeReplica leader = cluster.awaitLeader();
    FakeReplica wiped = otherThan(leader);
    final String old = wiped.node().identity();
    final FakeReplica third =
        cluster.replicas().stream().filter(r -> r != leader && r != wiped).findFirst().get();
    cluster.wipe(wiped.name());
    cluster.kill(leader.name());
    cluster.start(wiped.name());
    assertNotEquals(old, wiped.node().identity());
    // Two of three replicas run, but one of them is no longer a voter: no leader may be elected.
    cluster.advance(20_000);
    assertNull(cluster.leader());
    assertEquals(0, wiped.node().term());
    assertEquals(RaftRole.LEARNER, wiped.node().role());
    cluster.start(leader.name());
    cluster.awaitConverged();
    assertTrue(third.node().membership().contains(wiped.name(), wiped.node().identity()));
    assertFalse(third.node().membership().contains(wiped.name(), old));
    assertTrue(third.events().count(EventCode.LEARNER_ADMITTED) > 0);
    cluster.kill(leader.name());
    cluster.commit("with the vote of the new identity");
    cluster.await(1_000, () -> wiped.machine().count() == 6);
  }

  /** Guards against granting a vote that was requested from another identity. */
  @Test
  void voteRequestForAnotherIdentityIsIgnored() {
    startAndCommit(1);
    cluster.awaitConverged();
    FakeReplica f = otherThan(cluster.awaitLeader());
    cluster.advance(2_000);
    f.node().flush(f.localTime(cluster.now()));
    long later = f.localTime(cluster.now()) + 60_000;
    f.node()
        .receive(
            later,
            "c".equals(f.name()) ? "a" : "c",
            new RaftMessage.VoteRequest(1_000, "x", "old identity", 1_000, 1_000, false));
    assertTrue(f.node().flush(later).messages().isEmpty());
    assertTrue(f.node().term() < 1_000);
  }

  /** Guards against an old leader that commits, replies or serves reads after a freeze. */
  @Test
  void frozenLeaderStepsDownBeforeItActs() {
    startAndCommit(3);
    FakeReplica old = cluster.awaitLeader();
    final long term = old.node().term();
    final long pending = cluster.propose(old.name(), "old");
    cluster.freeze(old.name());
    cluster.advance(30_000);
    cluster.commit("new");
    assertFalse(old.mayLead(cluster.now()));
    cluster.unfreeze(old.name());
    long late = cluster.propose(old.name(), "late");
    cluster.advance(1);
    assertFalse(old.node().isLeader());
    ProposalResult result = cluster.result(late);
    assertNotNull(result);
    assertEquals(ErrorCode.NOT_LEADER, result.failure());
    ProposalResult unknown = cluster.result(pending);
    assertNotNull(unknown);
    assertEquals(ErrorCode.OUTCOME_UNKNOWN, unknown.failure());
    cluster.awaitConverged();
    assertTrue(old.node().term() > term);
    // Three commands and "new"; neither "old" nor "late" is committed.
    cluster.replicas().forEach(r -> assertEquals(4, r.machine().count()));
    assertEquals("new", old.machine().last());
  }

  /** Guards against an isolated leader that keeps its role or serves reads. */
  @Test
  void isolatedLeaderStepsDown() {
    startAndCommit(2);
    FakeReplica old = cluster.awaitLeader();
    cluster.isolate(old.name());
    final long pending = cluster.propose(old.name(), "old");
    cluster.advance(700);
    assertFalse(old.node().isLeader());
    ProposalResult result = cluster.result(pending);
    assertNotNull(result);
    assertEquals(ErrorCode.OUTCOME_UNKNOWN, result.failure());
    cluster.commit("new");
    cluster.advance(60_000);
    final long term = cluster.awaitLeader().node().term();
    cluster.network().heal();
    cluster.awaitConverged();
    // Because of the pre-vote, the isolated replica did not increase its term.
    assertEquals(term, old.node().term());
    assertEquals("new", old.machine().last());
  }

  /** Guards against a leader that receives but cannot send, and blocks every election. */
  @Test
  void leaderThatCannotSendIsReplaced() {
    startAndCommit(1);
    FakeReplica old = cluster.awaitLeader();
    NAMES.forEach(n -> cluster.network().cut(old.name(), n));
    cluster.await(3_000, () -> cluster.leader() != null && cluster.awaitLeader() != old);
  }

  /** Guards against concurrent proposals that get the same index or are lost. */
  @Test
  void concurrentProposalsAreBothCommittedInOneOrder() {
    startAndCommit(1);
    FakeReplica leader = cluster.awaitLeader();
    long first = cluster.propose(leader.name(), "first");
    long refused = cluster.propose(otherThan(leader).name(), "refused");
    long second = cluster.propose(leader.name(), "second");
    cluster.await(1_000, () -> cluster.isCommitted(first) && cluster.isCommitted(second));
    ProposalResult a = cluster.result(first);
    ProposalResult b = cluster.result(second);
    ProposalResult r = cluster.result(refused);
    assertNotNull(a);
    assertNotNull(b);
    assertNotNull(r);
    assertEquals(a.index() + 1, b.index());
    assertEquals(ErrorCode.NOT_LEADER, r.failure());
    assertEquals(leader.name(), r.leaderHint());
  }

  /** Guards against continuing after a failed sync as if the data were durable. */
  @Test
  void failedSyncIsFatalAndNothingIsAcknowledged() {
    startAndCommit(1);
    FakeReplica leader = cluster.awaitLeader();
    RaftNode node = leader.node();
    final long durable = node.lastDurableIndex();
    leader.disk().failSyncs();
    node.propose(leader.localTime(cluster.now()), 99, new byte[] {1});
    EbonypondException e =
        assertThrows(EbonypondException.class, () -> node.flush(leader.localTime(cluster.now())));
    assertEquals(ErrorCode.STORAGE_FAILED, e.code());
    leader.disk().allowSyncs();
    e = assertThrows(EbonypondException.class, () -> node.flush(leader.localTime(cluster.now())));
    assertEquals(ErrorCode.STORAGE_FAILED, e.code());
    assertEquals(durable, node.lastDurableIndex());
  }

  /** Guards against a restart that replays too many or too few entries. */
  @Test
  void restartAfterThousandCommandsFromSnapshotAndTail() {
    RaftCluster group = new RaftCluster(11, 3, 150);
    group.startAll();
    FakeReplica leader = group.awaitLeader();
    for (int i = 0; i < 1_000; i++) {
      group.propose(leader.name(), "command " + i);
      group.advance(2);
    }
    group.awaitConverged();
    final long hash = leader.machine().hash();
    NAMES.forEach(group::kill);
    group.startAll();
    for (FakeReplica r : group.replicas()) {
      Snapshot s = r.storage().snapshot();
      assertNotNull(s);
      assertTrue(r.storage().lastIndex() > s.index(), "there are entries after the snapshot");
      assertTrue(r.storage().lastIndex() - r.storage().firstIndex() < 400);
    }
    group.awaitConverged();
    group
        .replicas()
        .forEach(
            r -> {
              assertEquals(1_000, r.machine().count());
              assertEquals(hash, r.machine().hash());
            });
  }

  /** Guards against a replica that cannot catch up because the log it needs was compacted. */
  @Test
  void restartedReplicaGetsTheSnapshotInParts() {
    RaftCluster group = new RaftCluster(13, 3, 50);
    group.startAll();
    group.awaitLeader();
    group.replicas().forEach(r -> r.machine().padSnapshots(1_000));
    group.awaitConverged();
    group.kill("b");
    for (int i = 0; i < 200; i++) {
      group.commit("command " + i);
    }
    group.network().setFaults(30, 10, 10);
    group.start("b");
    group.awaitConverged();
    assertTrue(group.replica("b").events().count(EventCode.SNAPSHOT_INSTALLED) > 0);
    assertEquals(200, group.replica("b").machine().count());
  }

  /** Guards against readers that miss committed commands because the log was compacted. */
  @Test
  void readersThatAreNotReplicasGetSnapshotOrEntries() {
    RaftCluster group = new RaftCluster(17, 3, 50);
    group.startAll();
    for (int i = 0; i < 120; i++) {
      group.commit("command " + i);
    }
    RaftNode node = group.awaitLeader().node();
    CommittedEntries all = node.entriesAfter(0, 1_000);
    Snapshot s = all.snapshot();
    assertNotNull(s);
    assertEquals(s.index() + 1, all.entries().get(0).index());
    CommittedEntries last = node.entriesAfter(node.appliedIndex() - 2, 1);
    assertNull(last.snapshot());
    assertEquals(node.appliedIndex() - 1, last.entries().get(0).index());
    assertEquals(1, last.entries().size());
    assertTrue(node.entriesAfter(node.appliedIndex(), 10).entries().isEmpty());
  }

  /** Guards against a restarted replica that applies nothing until a leader is elected. */
  @Test
  void restartedReplicaAppliesWhatItKnewToBeCommitted() {
    startAndCommit(5);
    cluster.advance(1_000);
    final long applied = cluster.replica("b").node().appliedIndex();
    NAMES.forEach(cluster::kill);
    cluster.start("b");
    cluster.advance(5);
    // The saved commit index may lag behind, but the log itself never shrinks.
    assertTrue(cluster.replica("b").node().appliedIndex() <= applied);
    cluster.startAll();
    cluster.awaitConverged();
    assertTrue(cluster.replica("b").node().appliedIndex() >= applied);
  }

  /** Guards against a permanently lost replica that is never replaced as a voter. */
  @Test
  void replicaWithNewNameReplacesTheSilentOne() {
    startAndCommit(5);
    cluster.kill("c");
    cluster.join("d");
    cluster.await(
        15_000,
        () ->
            cluster
                .awaitLeader()
                .node()
                .membership()
                .members()
                .keySet()
                .equals(Set.of("a", "b", "d")));
    cluster.kill("b");
    cluster.commit("after the second loss");
  }

  /** Guards against more voters than the target while every voter replies. */
  @Test
  void replicaWithNewNameWaitsWhileNoVoterIsMissing() {
    startAndCommit(5);
    cluster.join("d");
    cluster.advance(10_000);
    assertEquals(3, cluster.awaitLeader().node().membership().members().size());
    assertFalse(cluster.replica("d").node().isVoter());
  }

  /** Guards against a few large entries that fill a replica's heap of 64 MB. */
  @Test
  void largeEntriesAreReplacedBySnapshotsBeforeTheyFillTheMemory() {
    RaftCluster group = new RaftCluster(3, 1, 1_000);
    group.startAll();
    String large = "x".repeat(1 << 20);
    for (int i = 0; i < 64; i++) {
      group.commit(large + i);
    }
    LogStorage log = group.replica("a").storage();
    long bytes = 0;
    for (long i = log.firstIndex(); i <= log.lastIndex(); i++) {
      bytes += log.entry(i).data().length;
    }
    assertTrue(bytes <= 32 << 20, bytes + " bytes of entries are held");
  }

  /** Guards against a loss of quorum when two disks are lost at once, twice in a row. */
  @Test
  void fiveVotersOfSixReplicasSurviveTwoLostDisksAtOnce() {
    RaftCluster group = new RaftCluster(11, 3, 1_000, 5);
    group.startAll();
    group.commit("first");
    List.of("d", "e", "f").forEach(group::join);
    group.await(15_000, () -> liveVoters(group) == 5);
    group.commit("with five voters");
    for (List<String> lost : List.of(List.of("a", "b"), List.of("c", "d"))) {
      lost.forEach(group::wipe);
      group.commit("without " + lost);
      lost.forEach(group::start);
      group.await(15_000, () -> liveVoters(group) == 5 && allHave(group, committed(group)));
    }
    assertEquals(4, committed(group));
  }

  private static long committed(RaftCluster group) {
    return group.awaitLeader().machine().count();
  }

  private static boolean allHave(RaftCluster group, long commands) {
    return group.replicas().stream().allMatch(r -> r.machine().count() == commands);
  }

  /** Returns the number of voters whose replica has the identity that was admitted. */
  private static long liveVoters(RaftCluster group) {
    return group.awaitLeader().node().membership().members().entrySet().stream()
        .filter(e -> group.replica(e.getKey()).node().identity().equals(e.getValue()))
        .count();
  }

  /**
   * Guards against changes that are refused or stay unanswered long after the disks of all replicas
   * were full one after another.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void changesAreAcknowledgedAfterAllDisksWereFullInTurn(long seed) {
    RaftCluster c = new RaftCluster(seed, 5, 40);
    c.startAll();
    c.endProcessesOnFailedSyncs();
    c.commit("first");
    for (FakeReplica r : c.replicas()) {
      for (int i = 0; i < 25; i++) {
        // The end of a process makes its disk work again.
        r.disk().failSyncs();
        FakeReplica leader = c.leader();
        if (leader != null) {
          c.propose(leader.name(), "while the disk of " + r.name() + " is full");
        }
        c.advance(100);
        tryStart(c, r.name());
      }
      r.disk().allowSyncs();
      c.startAll();
      c.advance(2_000);
    }
    c.commit("last");
    c.awaitConverged();
    c.checkLogs();
  }

  /** Starts a process that ends at once if its disk is full. */
  private static void tryStart(RaftCluster c, String name) {
    try {
      c.start(name);
    } catch (EbonypondException e) {
      assertEquals(ErrorCode.STORAGE_FAILED, e.code());
    }
  }
}
