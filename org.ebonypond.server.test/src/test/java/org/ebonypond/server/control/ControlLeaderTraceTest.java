package org.ebonypond.server.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.ApplyDocument;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.Proposal;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.group.ScoredPolicy;
import org.ebonypond.junit.FakeEngine;
import org.ebonypond.junit.FakeEngineFleet;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.server.backend.EngineAdmin;
import org.ebonypond.server.replica.ReplicaService;
import org.ebonypond.server.settings.DaemonSettings;
import org.ebonypond.server.settings.SettingsParser;
import org.ebonypond.server.timer.ScheduledTimerService;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.time.HybridClock;
import org.ebonypond.time.TimerService;
import org.ebonypond.trace.Trace;
import org.ebonypond.trace.TraceHeader;
import org.ebonypond.trace.TraceOutcome;
import org.ebonypond.trace.TraceReader;
import org.ebonypond.trace.TraceReplay;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

class ControlLeaderTraceTest {
  private static final String DOCUMENT =
      """
      version = 1
      [[engine_kind]]
      name = "batcher"
      checks_fencing = true
      [[model]]
      name = "drafter"
      version = "1"
      engine_kind = "batcher"
      zones = ["a"]
      groups_per_zone = 1
      instances_per_group = 2
      max_concurrency = 16
      cold_ceiling = 2
      warm_seconds = 3
      """;

  @TempDir Path folder;

  private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(2);
  private final ExecutorService leaderThread = Executors.newSingleThreadExecutor();
  private final TimerService timers = new ScheduledTimerService(threads);
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final FakeEngineFleet fleet = new FakeEngineFleet();

  private DaemonSettings settings() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String peer = "127.0.0.1:" + s.getLocalPort();
      return SettingsParser.parse(
          String.join(
              "\n",
              "node = \"n\"",
              "zone = \"a\"",
              "http = \"127.0.0.1:1\"",
              "peer = \"" + peer + '"',
              "data_folder = '" + folder.resolve("data") + "'",
              "ledger_shards = 1",
              "[[replica]]",
              "name = \"n\"",
              "peer = \"" + peer + "\"\n"));
    }
  }

  private final class Engines implements EngineAdmin {
    private FakeEngine at(String address) {
      FakeEngine e = fleet.get(address.substring(0, address.indexOf(':')));
      if (!fleet.isReachable(e)) {
        throw new IllegalStateException("unreachable");
      }
      return e;
    }

    @Override
    public CompletableFuture<EngineState> readState(String address) {
      return CompletableFuture.supplyAsync(
          () -> {
            synchronized (fleet) {
              return at(address).state(timers.nowMillis());
            }
          });
    }

    @Override
    public CompletableFuture<Void> send(String address, EngineOrder order) {
      return CompletableFuture.runAsync(
          () -> {
            synchronized (fleet) {
              if (!at(address).order(order, timers.nowMillis())) {
                throw new IllegalStateException("refused");
              }
            }
          });
    }
  }

  private void announce(PeerNetwork network, DaemonSettings s) {
    List<InstanceReport.Item> items;
    synchronized (fleet) {
      items =
          fleet.announcements(timers.nowMillis()).stream()
              .map(a -> new InstanceReport.Item(a, load(a)))
              .toList();
    }
    byte[] payload = MessagePackCodec.encode(new InstanceReport(items));
    network.send(s.peer(), FrameType.INSTANCE_REPORT, ReplicaChannels.CONTROL, payload);
  }

  private static ReportedLoad load(InstanceAnnouncement a) {
    boolean ready = a.status() == EngineStatus.READY;
    return new ReportedLoad(a.instance(), a.boot(), ready, 0, 0, 0, 0, 0);
  }

  private static ControlView await(ReplicaService r, Predicate<GroupRecord> wanted)
      throws InterruptedException {
    for (int i = 0; i < 200; i++) {
      ControlView v = r.control().inspect(n -> r.controlState().view()).join();
      if (v.groups().values().stream().anyMatch(wanted)) {
        return v;
      }
      Thread.sleep(100);
    }
    throw new AssertionError("the group did not reach the state in 20 s");
  }

  private static boolean isReady(GroupRecord g) {
    return g.state() == GroupState.READY;
  }

  /** Steps the time of day forward several times. */
  private void stepTimeOfDay() throws InterruptedException {
    for (int i = 0; i < 5; i++) {
      wallClock.suspend(2_000);
      Thread.sleep(250);
    }
  }

  /**
   * Runs a leader until a group has lost a member and has been repaired.
   *
   * @param steps whether the time of day is stepped after the group was formed
   */
  private ControlView run(Path file, boolean steps) throws IOException, InterruptedException {
    DaemonSettings settings = settings();
    TraceHeader header =
        new TraceHeader(
            new ScoredPolicy().name(), PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT);
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    try (PeerNetwork network = new PeerNetwork("n", clock, timers);
        TraceFile trace = TraceFile.start(file, header, 1 << 20);
        ReplicaService replica =
            new ReplicaService(
                settings,
                network,
                timers,
                wallClock.newDetector(),
                EventSink.NONE,
                new Random(1),
                e -> {})) {
      ControlLeader leader =
          new ControlLeader(
              replica,
              timers,
              leaderThread,
              new Engines(),
              new ScoredPolicy(),
              EventSink.NONE,
              new LeaderDirectory(timers),
              e -> {},
              trace);
      leader.start(network);
      replica.start();
      network.listen(settings.peer());
      timers.every(500, () -> announce(network, settings));
      ApplyDocument document = new ApplyDocument(1, DOCUMENT, "operation-1");
      for (int i = 0; i < 100; i++) {
        if (replica.control().propose(MessagePackCodec.encode(document)).join().failure() == null) {
          break;
        }
        Thread.sleep(100);
      }
      ControlView before = await(replica, ControlLeaderTraceTest::isReady);
      GroupRecord formed = before.groups().values().iterator().next();
      if (steps) {
        stepTimeOfDay();
      }
      synchronized (fleet) {
        fleet.get(formed.members().get(1).instance()).stop();
      }
      final ControlView after = await(replica, g -> isReady(g) && g.epoch() > formed.epoch());
      Thread.sleep(500);
      threads.shutdownNow();
      leaderThread.shutdown();
      assertTrue(leaderThread.awaitTermination(5, TimeUnit.SECONDS));
      return after;
    }
  }

  /** Returns the proposal that a log event of the leader describes, if any. */
  private static Stream<Proposal> proposal(ILoggingEvent e) {
    if (!e.getMessage().startsWith("proposes ")) {
      return Stream.empty();
    }
    Object[] a = e.getArgumentArray();
    return Stream.of(new Proposal((ControlCommand) a[0], (String) a[1]));
  }

  /** Guards against inputs of the leader that a trace omits or records in another order. */
  @Test
  void replayOfRealRunMakesTheSameProposalsInOrder() throws IOException, InterruptedException {
    fleet.addZone("a", 1, 3, "batcher", true, 500);
    final Path file = folder.resolve("leader.trace");
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    Logger log = (Logger) LoggerFactory.getLogger(ControlLeader.class);
    log.setLevel(Level.DEBUG);
    log.addAppender(appender);
    final ControlView last = run(file, false);
    log.detachAppender(appender);
    Trace trace = TraceReader.read(Files.readString(file));
    TraceOutcome outcome = TraceReplay.run(trace, 0);
    assertEquals(last, outcome.finalView());
    List<Proposal> proposed = appender.list.stream().flatMap(e -> proposal(e)).toList();
    assertEquals(
        proposed,
        outcome.proposals().stream().map(p -> new Proposal(p.command(), p.reason())).toList());
    assertTrue(proposed.size() >= 8, proposed.toString());
    assertEquals(0, outcome.unmatchedAnswers());
    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.longestDetectionMillis() >= 2_000, () -> outcome.longestDetectionMillis() + " ms");
  }

  /**
   * Guards against a leader that starts its term again after a step of the time of day, and grants
   * no shares of starting backend servers for seconds.
   */
  @Test
  void leaderGoesOnInItsTermAfterStepsOfTheTimeOfDay() throws IOException, InterruptedException {
    fleet.addZone("a", 1, 3, "batcher", true, 500);
    Path file = folder.resolve("leader.trace");
    run(file, true);
    List<String> terms =
        Files.readString(file)
            .lines()
            .filter(l -> l.contains("term-started") || l.contains("term-ended"))
            .toList();
    assertEquals(1, terms.size(), terms.toString());
  }
}
