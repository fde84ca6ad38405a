package org.ebonypond.server.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.consensus.RoleChange;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.consensus.HashingStateMachine;
import org.ebonypond.junit.consensus.MemoryDisk;
import org.ebonypond.junit.consensus.SafetyChecker;
import org.ebonypond.server.storage.FileLogStorage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplicaDriverTest implements ReplicaListener {
  @TempDir Path folder;

  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final SafetyChecker checker = new SafetyChecker();
  private final Map<String, ReplicaDriver> drivers = new TreeMap<>();
  private final Map<String, HashingStateMachine> machines = new TreeMap<>();
  private final List<LogStorage> storages = new ArrayList<>();
  private final List<Throwable> failures = new ArrayList<>();

  @AfterEach
  void closeStorages() {
    storages.forEach(LogStorage::close);
  }

  private void startCluster(String... names) {
    for (String name : names) {
      Path path = folder.resolve(name);
      start(
          name,
          FileLogStorage.open(path, name, new Random(name.hashCode()), EventSink.NONE),
          names);
    }
  }

  private void start(String name, LogStorage storage, String... names) {
    storages.add(storage);
    HashingStateMachine machine = new HashingStateMachine(checker);
    machines.put(name, machine);
    RaftConfig config = RaftConfig.standard(name, List.of(names));
    RaftNode node =
        new RaftNode(config, storage, machine, new Random(3), EventSink.NONE, timers.nowMillis());
    RaftTransport transport = (channel, to, payload) -> drivers.get(to).receive(name, payload);
    drivers.put(
        name, new ReplicaDriver("control", node, transport, timers, wallClock.newDetector(), this));
  }

  private void await(BooleanSupplier condition) {
    for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
      timers.advance(10);
      drivers.values().forEach(ReplicaDriver::runOnce);
    }
    assertTrue(condition.getAsBoolean());
  }

  private ReplicaDriver awaitLeader() {
    await(() -> drivers.values().stream().anyMatch(d -> d.status().mayLead(timers.nowMillis())));
    return drivers.values().stream()
        .filter(d -> d.status().mayLead(timers.nowMillis()))
        .findFirst()
        .orElseThrow();
  }

  @Override
  public void roleChanged(RoleChange change) {}

  @Override
  public void failed(Throwable cause) {
    failures.add(cause);
  }

  /** Guards against proposals that are lost or whose results reach the wrong caller. */
  @Test
  void clusterOnFilesCommitsProposals() {
    startCluster("a", "b", "c");
    ReplicaDriver leader = awaitLeader();
    List<CompletableFuture<ProposalResult>> futures = new ArrayList<>();
    for (byte i = 0; i < 50; i++) {
      futures.add(leader.propose(new byte[] {i}));
    }
    await(() -> futures.stream().allMatch(CompletableFuture::isDone));
    for (int i = 0; i < 50; i++) {
      ProposalResult r = futures.get(i).join();
      assertNull(r.failure());
      assertEquals(futures.get(0).join().index() + i, r.index());
    }
    await(() -> machines.values().stream().allMatch(m -> m.count() == 50));
  }

  /** Guards against a separate sync for each proposal. */
  @Test
  void waitingProposalsShareOneSync() {
    MemoryDisk disk = new MemoryDisk();
    start("a", new DiskLogStorage(disk, "a", new Random(1), EventSink.NONE, 1 << 20), "a");
    ReplicaDriver leader = awaitLeader();
    final int before = disk.syncs();
    List<CompletableFuture<ProposalResult>> futures = new ArrayList<>();
    for (byte i = 0; i < 64; i++) {
      futures.add(leader.propose(new byte[] {i}));
    }
    leader.runOnce();
    assertTrue(futures.stream().allMatch(f -> f.join().failure() == null));
    assertEquals(before + 1, disk.syncs());
  }

  /** Guards against a replica that serves reads and proposals without being the leader. */
  @Test
  void frozenLeaderServesNoRead() {
    startCluster("a", "b", "c");
    ReplicaDriver leader = awaitLeader();
    CompletableFuture<Long> read = leader.read(() -> 1L);
    leader.runOnce();
    assertEquals(1L, read.join());
    timers.advance(30_000);
    assertFalse(leader.status().mayLead(timers.nowMillis()));
    CompletableFuture<Long> stale = leader.read(() -> 1L);
    CompletableFuture<ProposalResult> proposal = leader.propose(new byte[] {1});
    leader.runOnce();
    CompletionException e = assertThrows(CompletionException.class, stale::join);
    assertEquals(
        ErrorCode.NOT_LEADER, assertInstanceOf(EbonypondException.class, e.getCause()).code());
    assertEquals(ErrorCode.NOT_LEADER, proposal.join().failure());
  }

  /**
   * Guards against a former leader that was suspended, serves reads of its old state and acts as
   * the leader until it hears of its successor.
   */
  @Test
  void suspendedLeaderServesNoReadBeforeItHearsFromMajority() {
    startCluster("a", "b", "c");
    ReplicaDriver leader = awaitLeader();
    wallClock.suspend(5_000);
    assertFalse(leader.status().mayLead(timers.nowMillis()));
    CompletableFuture<Long> read = leader.read(() -> 1L);
    leader.runOnce();
    CompletionException e = assertThrows(CompletionException.class, read::join);
    assertEquals(
        ErrorCode.NOT_LEADER, assertInstanceOf(EbonypondException.class, e.getCause()).code());
    await(() -> leader.status().mayLead(timers.nowMillis()));
    CompletableFuture<Long> later = leader.read(() -> 1L);
    leader.runOnce();
    assertEquals(1L, later.join());
  }

  /** Guards against callers that wait forever or get a result when the storage fails. */
  @Test
  void failedStorageEndsAllProposalsAndStopsTheReplica() {
    MemoryDisk disk = new MemoryDisk();
    start("a", new DiskLogStorage(disk, "a", new Random(1), EventSink.NONE, 1 << 20), "a");
    ReplicaDriver leader = awaitLeader();
    disk.failSyncs();
    CompletableFuture<ProposalResult> proposal = leader.propose(new byte[] {1});
    CompletableFuture<Long> read = leader.read(() -> 1L);
    leader.runOnce();
    assertEquals(ErrorCode.OUTCOME_UNKNOWN, proposal.join().failure());
    assertTrue(read.isCompletedExceptionally());
    assertEquals(1, failures.size());
    assertFalse(leader.status().mayLead(timers.nowMillis()));
    assertEquals(ErrorCode.NOT_LEADER, leader.propose(new byte[] {1}).join().failure());
    assertTrue(leader.entriesAfter(0, 1).isCompletedExceptionally());
  }

  /** Guards against a replica that blocks while its disk syncs. */
  @Test
  void replicaRespondsDuringSync() throws Exception {
    BlockingDisk disk = new BlockingDisk();
    start("a", new DiskLogStorage(disk, "a", new Random(1), EventSink.NONE, 1 << 20), "a");
    ReplicaDriver leader = awaitLeader();
    leader.start();
    disk.block();
    final CompletableFuture<ProposalResult> first = leader.propose(new byte[] {1});
    disk.awaitBlocked();
    final int before = disk.syncs();
    List<CompletableFuture<ProposalResult>> waiting = new ArrayList<>();
    for (byte i = 0; i < 8; i++) {
      waiting.add(leader.propose(new byte[] {i}));
    }
    assertEquals(RaftRole.LEADER, leader.inspect(RaftNode::role).get(10, TimeUnit.SECONDS));
    assertFalse(first.isDone());
    disk.unblock();
    assertNull(first.get(10, TimeUnit.SECONDS).failure());
    for (CompletableFuture<ProposalResult> f : waiting) {
      assertNull(f.get(10, TimeUnit.SECONDS).failure());
    }
    leader.close();
    assertEquals(before + 2, disk.syncs(), "the proposals during the first sync share the second");
  }

  /** Guards against ignoring a failure on the sync thread. */
  @Test
  void failureOnTheSyncThreadStopsTheReplica() throws Exception {
    BlockingDisk disk = new BlockingDisk();
    start("a", new DiskLogStorage(disk, "a", new Random(1), EventSink.NONE, 1 << 20), "a");
    ReplicaDriver leader = awaitLeader();
    leader.start();
    disk.failSyncs();
    CompletableFuture<ProposalResult> proposal = leader.propose(new byte[] {1});
    assertEquals(ErrorCode.OUTCOME_UNKNOWN, proposal.get(10, TimeUnit.SECONDS).failure());
    leader.close();
    assertEquals(1, failures.size());
    assertFalse(leader.status().mayLead(timers.nowMillis()));
  }

  /** Guards against callers that wait forever when the replica is closed. */
  @Test
  void closeCompletesProposals() {
    startCluster("a", "b", "c");
    ReplicaDriver leader = awaitLeader();
    leader.start();
    leader.close();
    assertTrue(leader.propose(new byte[] {1}).isDone());
  }
}
