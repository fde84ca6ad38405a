package org.ebonypond.server.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.server.control.ProposalClient.ProposalFailure;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ProposalClientTest {
  private final ManualTimerService timers = new ManualTimerService();
  private final ManualPeers peers = new ManualPeers();
  private final ProposalClient client = new ProposalClient(peers, timers, ManualPeers.REPLICAS);

  private CompletableFuture<ProposalReply> propose() {
    return client.propose("control", new byte[] {1}, 3_000);
  }

  private static ProposalReply notLeader(@Nullable String leader) {
    return new ProposalReply(0, new byte[0], ErrorCode.NOT_LEADER, leader);
  }

  private static boolean notSent(CompletableFuture<ProposalReply> f) {
    CompletionException e = assertThrows(CompletionException.class, f::join);
    return assertInstanceOf(ProposalFailure.class, e.getCause()).notSent();
  }

  @Test
  void followsTheHintToTheLeaderAndRemembersIt() {
    final CompletableFuture<ProposalReply> f = propose();
    peers.last().reply(notLeader("r2"));
    timers.advance(100);
    assertEquals(2, peers.last().replica());
    peers.last().reply(new ProposalReply(7, new byte[0], null, "r2"));
    assertEquals(7, f.join().index());
    propose();
    assertEquals(2, peers.last().replica());
  }

  /** Guards against a proposal that waits for a frozen replica although the leader is known. */
  @Test
  void firstAttemptGoesToTheLeaderThatTheLogNames() {
    ProposalClient c = new ProposalClient(peers, timers, () -> ManualPeers.REPLICAS, () -> "r1");
    c.propose("control", new byte[] {1}, 3_000);
    assertEquals(1, peers.last().replica());
    peers.last().reply(notLeader(null));
    timers.advance(100);
    assertEquals(2, peers.last().replica());
  }

  /** Guards against a late failure of the old leader that redirects proposals from the new one. */
  @Test
  void keepsTheNewLeaderWhenAnOlderProposalFailsLate() {
    propose();
    final ManualPeers.Request late = peers.last();
    propose();
    peers.last().reply(notLeader("r2"));
    late.fail();
    timers.advance(100);
    assertEquals(4, peers.requests.size());
    assertEquals(2, peers.requests.get(2).replica());
    assertEquals(2, peers.requests.get(3).replica());
  }

  /** Guards against a wrong not-sent, after which a caller would be told that nothing ran. */
  @Test
  void isNotSentOnlyIfEveryReplicaRefused() {
    final CompletableFuture<ProposalReply> refused = propose();
    for (int i = 0; i < 30; i++) {
      peers.last().reply(notLeader(null));
      timers.advance(100);
    }
    assertTrue(notSent(refused));

    final CompletableFuture<ProposalReply> lost = propose();
    peers.last().fail();
    for (int i = 0; i < 30; i++) {
      timers.advance(100);
      peers.last().reply(notLeader(null));
    }
    timers.advance(100);
    assertFalse(notSent(lost));
  }

  @Test
  void failsWhenAllReplicasAreDown() {
    final CompletableFuture<ProposalReply> f = propose();
    for (int i = 0; i < 31; i++) {
      peers.last().fail();
      timers.advance(100);
    }
    assertFalse(notSent(f));
    assertEquals(3, peers.requests.stream().map(ManualPeers.Request::replica).distinct().count());
  }
}
