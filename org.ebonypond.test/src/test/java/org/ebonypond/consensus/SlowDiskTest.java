package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.events.EventCode;
import org.ebonypond.junit.consensus.FakeReplica;
import org.ebonypond.junit.consensus.RaftCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of a group in which single syncs take seconds while all processes run. */
class SlowDiskTest {
  private static final int STALL_MILLIS = 3_000;
  private static final int COMMANDS = 20;

  private static RaftCluster start(long seed) {
    RaftCluster c = new RaftCluster(seed, 3, 1_000);
    c.startAll();
    c.commit("before");
    c.awaitConverged();
    return c;
  }

  /** Commits 20 commands over 2.6 s, each within 100 ms. */
  private static void commitAll(RaftCluster c, FakeReplica leader) {
    for (int i = 0; i < COMMANDS; i++) {
      long id = c.propose(leader.name(), "command " + i);
      long end = c.now() + 130;
      c.await(100, () -> c.isCommitted(id));
      c.advance(end - c.now());
    }
  }

  private static void assertUndisturbed(RaftCluster c, FakeReplica leader, long term) {
    assertTrue(leader.mayLead(c.now()));
    for (FakeReplica r : c.replicas()) {
      assertEquals(term, r.node().term());
      assertEquals(0, r.events().count(EventCode.LEADER_STEPPED_DOWN));
    }
  }

  /** Guards against a leader that steps down because its disk is slow. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void leaderWithStalledDiskKeepsLeadingAndCommits(long seed) {
    RaftCluster c = start(seed);
    FakeReplica leader = c.awaitLeader();
    final long term = leader.node().term();
    leader.stallNextSync(STALL_MILLIS);
    commitAll(c, leader);
    assertTrue(leader.isSyncing());
    assertTrue(leader.node().commitIndex() >= leader.node().lastDurableIndex() + COMMANDS);
    c.await(STALL_MILLIS, () -> !leader.isSyncing());
    assertUndisturbed(c, leader, term);
    c.awaitConverged();
    c.replicas().forEach(r -> assertEquals(1 + COMMANDS, r.machine().count()));
  }

  /** Guards against a follower that starts an election or delays commits because of its disk. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void followerWithStalledDiskDoesNotDisturbTheGroup(long seed) {
    RaftCluster c = start(seed);
    FakeReplica leader = c.awaitLeader();
    final long term = leader.node().term();
    FakeReplica f = c.replicas().stream().filter(r -> r != leader).findFirst().orElseThrow();
    f.stallNextSync(STALL_MILLIS);
    commitAll(c, leader);
    assertTrue(f.isSyncing());
    c.await(STALL_MILLIS, () -> !f.isSyncing());
    assertUndisturbed(c, leader, term);
    c.awaitConverged();
    assertEquals(1 + COMMANDS, f.machine().count());
  }

  /** Guards against commits without a durable majority, and against an unneeded election. */
  @Test
  void nothingIsCommittedWhileTwoDisksStall() {
    RaftCluster c = start(6);
    FakeReplica leader = c.awaitLeader();
    final long term = leader.node().term();
    c.replicas().stream().filter(r -> r != leader).forEach(r -> r.stallNextSync(STALL_MILLIS));
    long id = c.propose(leader.name(), "waits");
    c.advance(STALL_MILLIS - 100);
    assertFalse(c.isCommitted(id));
    assertUndisturbed(c, leader, term);
    c.await(300, () -> c.isCommitted(id));
  }

  /** Guards against the loss of acknowledged commands that only the leader had not stored. */
  @Test
  void commandsSurviveTheCrashOfTheLeaderWithStalledDisk() {
    RaftCluster c = start(7);
    FakeReplica leader = c.awaitLeader();
    leader.stallNextSync(STALL_MILLIS);
    commitAll(c, leader);
    assertTrue(leader.isSyncing());
    c.kill(leader.name());
    c.start(leader.name());
    assertTrue(leader.storage().lastIndex() < c.checker().acknowledgedIndex());
    c.awaitConverged();
    c.replicas().forEach(r -> assertEquals(1 + COMMANDS, r.machine().count()));
  }
}
