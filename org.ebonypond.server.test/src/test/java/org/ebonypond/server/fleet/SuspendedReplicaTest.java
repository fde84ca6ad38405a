package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.events.EventSink;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.OrderOutcome;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.server.timer.ScheduledTimerService;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.time.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three replicas with real files and sockets. One of them loses contact to the others and is then
 * suspended, so that its steady clock tells that it had contact a moment ago.
 */
class SuspendedReplicaTest {
  private static final int REPLICAS = 3;
  private static final long SUSPENSION_MILLIS = 5_000;

  @TempDir Path folder;

  private final List<TestReplica> replicas = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      names.add("127.0.0.1:" + freePort());
    }
    names.forEach(n -> replicas.add(new TestReplica(n, names)));
    replicas.forEach(r -> r.replica.start());
    await(
        () ->
            replicas.get(0).replica.install(1, new byte[] {1}).handle((r, e) -> e == null).join());
    await(() -> replicas.stream().allMatch(SuspendedReplicaTest::isConfirmed));
  }

  @AfterEach
  void stop() {
    replicas.forEach(TestReplica::close);
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 300 && !condition.getAsBoolean(); i++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertTrue(condition.getAsBoolean());
  }

  private static boolean isConfirmed(TestReplica r) {
    FleetPollResult answer = r.poll();
    return answer.version() == 1 && answer.stateAgeMillis() != FleetPollResult.UNCONFIRMED;
  }

  private TestReplica replica(boolean leads) {
    return replicas.stream()
        .filter(r -> leads == (r.replica.status().role() == RaftRole.LEADER))
        .findFirst()
        .orElseThrow();
  }

  private void isolateAndSuspend(TestReplica r) {
    replicas.stream().filter(other -> other != r).forEach(TestReplica::close);
    r.wallClock.suspend(SUSPENSION_MILLIS);
  }

  /**
   * Guards against a former leader that was suspended, and tells entries that the version which it
   * had is the newest, although its successor has committed others since.
   */
  @Test
  void leaderThatWasSuspendedConfirmsNothing() {
    TestReplica leader = replica(true);
    isolateAndSuspend(leader);
    assertEquals(FleetPollResult.UNCONFIRMED, leader.poll().stateAgeMillis());
  }

  /** Guards against a replica that passes on what a leader told it before a suspension. */
  @Test
  void followerThatWasSuspendedConfirmsNothing() {
    TestReplica follower = replica(false);
    isolateAndSuspend(follower);
    assertEquals(FleetPollResult.UNCONFIRMED, follower.poll().stateAgeMillis());
  }

  /** Guards against a leader that confirms nothing any more after a step of the time of day. */
  @Test
  void leaderWithQuorumConfirmsAgain() throws Exception {
    TestReplica leader = replica(true);
    leader.wallClock.suspend(SUSPENSION_MILLIS);
    await(() -> isConfirmed(leader));
  }

  private final class TestReplica {
    private final InetSocketAddress address;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledTimerService timers = new ScheduledTimerService(timer);
    private final FakeWallClock wallClock = new FakeWallClock(timers);
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final PeerNetwork network;
    private final FleetReplica replica;
    private boolean closed;

    TestReplica(String name, List<String> names) {
      address = ReplicaDirectory.address(name);
      network = new PeerNetwork(name, new HybridClock(wallClock), timers);
      replica =
          new FleetReplica(
              new FleetReplicaSettings(
                  name,
                  names,
                  folder.resolve(String.valueOf(replicas.size())),
                  REPLICAS,
                  100,
                  400,
                  5_000),
              network,
              timers,
              wallClock.newDetector(),
              executor,
              Runnable::run,
              new ConfigLoader(
                  content ->
                      new ServingConfig(1, List.of(), Map.of(), List.of(), ClientLimits.DEFAULT),
                  Runnable::run),
              o -> CompletableFuture.completedFuture(OrderOutcome.ACCEPTED),
              EventSink.NONE,
              new ReplicaMetrics(new MetricRegistry()),
              failure -> {
                throw new IllegalStateException(failure);
              });
      replica.register();
      network.listen(address);
    }

    FleetPollResult poll() {
      FleetPoll p =
          new FleetPoll("entry", "", 0, -1, 0, 0, true, true, 0, List.of(), List.of(), List.of());
      byte[] answer =
          network.ask(address, FrameType.FLEET_POLL, "", PollCodec.encodePoll(p), 1_000).join();
      return PollCodec.decodeResult(answer);
    }

    void close() {
      if (!closed) {
        closed = true;
        replica.close();
        timer.shutdownNow();
        network.close();
        executor.shutdownNow();
      }
    }
  }
}
