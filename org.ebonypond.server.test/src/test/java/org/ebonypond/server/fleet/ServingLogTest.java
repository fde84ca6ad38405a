package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.consensus.MemoryDisk;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ServingLogTest {
  private static final String NAME = "replica";
  private static final int SEGMENT_BYTES = 1 << 16;

  private final ManualTimerService timers = new ManualTimerService();
  private final MemoryDisk disk = new MemoryDisk();
  private final List<Throwable> fatal = new ArrayList<>();
  private final ServingLog log =
      new ServingLog(
          this::open,
          this::node,
          (channel, to, m) -> {},
          timers,
          new FakeWallClock(timers).newDetector(),
          Runnable::run,
          fatal::add);

  private @Nullable RuntimeException openFailure;
  private int openAttempts;

  private LogStorage open() {
    openAttempts++;
    RuntimeException failure = openFailure;
    if (failure != null) {
      throw failure;
    }
    return new DiskLogStorage(disk, NAME, new Random(1), EventSink.NONE, SEGMENT_BYTES);
  }

  private RaftNode node(LogStorage storage, ServingState state) {
    return new RaftNode(
        RaftConfig.standard(NAME, List.of(NAME)),
        storage,
        state,
        new Random(2),
        EventSink.NONE,
        timers.nowMillis());
  }

  private void await(BooleanSupplier condition) {
    for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
      timers.advance(10);
      log.runOnce();
    }
    assertTrue(condition.getAsBoolean());
  }

  private void awaitLeadership() {
    await(() -> log.status().role() == RaftRole.LEADER);
  }

  private CompletableFuture<ProposalResult> install(long version) {
    byte[] content = ("configuration " + version).getBytes(StandardCharsets.UTF_8);
    return log.propose(ServingCodec.encodeCommand(new ServingCommand.Install(version, content)));
  }

  private void awaitInstalled(long version) {
    CompletableFuture<ProposalResult> done = install(version);
    await(done::isDone);
    assertTrue(done.join().failure() == null, done.join().toString());
  }

  /**
   * Guards against a process that exits, and loses its table of instances, when the disk is full.
   */
  @Test
  void fullDiskSuspendsOnlyTheLog() {
    awaitLeadership();
    awaitInstalled(5);
    disk.failSyncs();
    CompletableFuture<ProposalResult> failedInstall = install(9);
    await(failedInstall::isDone);
    assertFalse(failedInstall.join().failure() == null);
    for (int i = 0; i < 300; i++) {
      timers.advance(10);
      log.runOnce();
    }
    assertTrue(openAttempts > 2, "opened " + openAttempts + " times");
    disk.allowSyncs();
    awaitLeadership();
    awaitInstalled(12);
    assertEquals(12, log.current().version());
    assertEquals(List.of(), fatal);
  }

  /** Guards against a replica that runs on without a log, because opening it again has failed. */
  @Test
  void unexpectedFailureToOpenTheLogAgainIsFatal() {
    awaitLeadership();
    awaitInstalled(5);
    disk.failSyncs();
    CompletableFuture<ProposalResult> failedInstall = install(9);
    await(failedInstall::isDone);
    openFailure = new IllegalStateException("as requested by the test");
    timers.advance(1_000);
    assertEquals(List.of(openFailure), fatal);
  }

  /** Guards against changes that stay unanswered after a disk was full again and again. */
  @Test
  void logRecoversFromEachOfManyFullDisks() {
    awaitLeadership();
    for (int i = 1; i <= 20; i++) {
      awaitInstalled(10 * i);
      disk.failSyncsAfter(i % 4);
      for (int n = 1; n <= 3; n++) {
        CompletableFuture<ProposalResult> failedInstall = install(10 * i + n);
        await(failedInstall::isDone);
      }
      disk.allowSyncs();
      awaitLeadership();
    }
    awaitInstalled(1_000);
    assertEquals(1_000, log.current().version());
    assertEquals(List.of(), fatal);
  }

  /** Guards against an acknowledged configuration that is lost when the log is reopened. */
  @Test
  void acknowledgedStateSurvivesFailedWrites() {
    awaitLeadership();
    awaitInstalled(5);
    disk.failSyncs();
    CompletableFuture<ProposalResult> failedInstall = install(9);
    await(failedInstall::isDone);
    disk.allowSyncs();
    timers.advance(1_000);
    awaitLeadership();
    await(() -> log.current().version() >= 5);
  }

  /** Guards against a replica that continues with a log whose acknowledged part is corrupt. */
  @Test
  void corruptLogIsFatal() throws IOException {
    awaitLeadership();
    awaitInstalled(5);
    awaitInstalled(6);
    disk.failSyncs();
    CompletableFuture<ProposalResult> failedInstall = install(9);
    await(failedInstall::isDone);
    disk.allowSyncs();
    String segment =
        disk.list().stream().filter(f -> f.startsWith("log")).findFirst().orElseThrow();
    disk.flipBit(segment, 40);
    timers.advance(1_000);
    assertEquals(1, fatal.size());
  }
}
