package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.ebonypond.events.EventSink;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetOrder;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.fleet.OrderOutcome;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.server.timer.ScheduledTimerService;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.time.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A single replica with real files and sockets, and the orders that it sends. */
class FleetReplicaTest {
  private static final long HEARTBEAT_MILLIS = 100;
  private static final long STALL_MILLIS = 400;
  private static final String SERVICE = "engines";

  @TempDir Path folder;

  private final int port = freePort();
  private final List<TestReplica> replicas = new ArrayList<>();
  private long sequence;

  private static int freePort() {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void stop() {
    replicas.forEach(TestReplica::close);
  }

  private TestReplica start() throws InterruptedException {
    TestReplica s = new TestReplica();
    replicas.add(s);
    await(() -> isCommitted(s));
    return s;
  }

  /** Installs the configuration, which succeeds only once a leader is elected. */
  private boolean isCommitted(TestReplica s) {
    return s.replica.install(1, new byte[] {1}).handle((r, failure) -> failure == null).join();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 300 && !condition.getAsBoolean(); i++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Sends heartbeats of cold instances until orders have been sent; returns the orders' kinds. */
  private Set<FleetOrder.Kind> firstOrders(TestReplica s) throws InterruptedException {
    for (int i = 0; i < 150 && s.orders.isEmpty(); i++) {
      sequence++;
      for (int n = 0; n < 8; n++) {
        s.replica.heartbeat(coldInstance("i-" + n, sequence));
      }
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
    }
    Set<FleetOrder.Kind> kinds = EnumSet.noneOf(FleetOrder.Kind.class);
    s.orders.forEach(o -> kinds.add(o.kind()));
    return kinds;
  }

  private static FleetInstance coldInstance(String id, long sequence) {
    return instance(id, 1, sequence, SERVICE, "10.0.0.1:" + (1_000 + id.charAt(2)));
  }

  private static FleetInstance instance(
      String id, long startMillis, long sequence, String service, String address) {
    return new FleetInstance(
        id,
        startMillis,
        sequence,
        service,
        address,
        "z",
        InstancePhase.READY,
        18,
        0,
        "domain",
        List.of(),
        List.of(),
        null,
        "");
  }

  /** Guards against a fleet without groups because a process restarted before the first request. */
  @Test
  void replicaRestartedBeforeTheFirstRequestFormsGroupsOfColdInstances() throws Exception {
    start().close();
    Set<FleetOrder.Kind> kinds = firstOrders(start());
    assertTrue(kinds.contains(FleetOrder.Kind.JOIN), kinds.toString());
  }

  /** Guards against too many weight loads after all processes restarted under traffic. */
  @Test
  void replicaRestartedAfterTheFirstRequestStagesFirst() throws Exception {
    TestReplica s = start();
    FleetPoll p =
        new FleetPoll("entry", "", 0, -1, 0, 0, true, true, 5, List.of(), List.of(), List.of());
    await(
        () -> {
          s.network.ask(s.address, FrameType.FLEET_POLL, "", PollCodec.encodePoll(p), 1_000);
          return s.replica.applied().traffic();
        });
    s.close();
    assertEquals(Set.of(FleetOrder.Kind.STAGE), firstOrders(start()));
  }

  /**
   * Guards against entries that each spend the whole budget after all processes have restarted,
   * because a replica does not know how many entries there are.
   */
  @Test
  void restartedReplicaKnowsHowManyEntriesShareTheBudgets() throws Exception {
    TestReplica s = start();
    await(
        () -> {
          for (int i = 0; i < 4; i++) {
            poll(s, "entry-" + i);
          }
          return s.replica.applied().entries() == 4;
        });
    s.close();
    assertEquals(4, poll(start(), "entry-0").entries());
  }

  /** Guards against a new series of crashes after all processes stopped at the same time. */
  @Test
  void blockedPromptPartsOutliveTheLossOfAllProcesses() throws Exception {
    TestReplica s = start();
    blockPart(s);
    s.close();
    TestReplica restarted = start();
    await(() -> !poll(restarted, "other", List.of()).suspicions().isEmpty());
    PartSuspicion restored = poll(restarted, "other", List.of()).suspicions().get(0);
    assertEquals(0xBAD, restored.part());
    assertTrue(restored.blocked());
    assertEquals(3, restored.crashes().size());
  }

  /** Has an entry report a blocked part until it is in the log. */
  private static void blockPart(TestReplica s) throws InterruptedException {
    List<PartSuspicion.Crash> crashes =
        List.of(
            new PartSuspicion.Crash(1, 0, 0.02),
            new PartSuspicion.Crash(2, 500, 0.02),
            new PartSuspicion.Crash(3, 1_000, 0.02));
    List<PartSuspicion> blocked = List.of(new PartSuspicion(0xBAD, 0, crashes, 0, true, false));
    await(
        () -> {
          poll(s, "entry", blocked);
          return s.replica.applied().quarantine().size() == 1;
        });
  }

  /**
   * Guards against requests to an instance whose deregistration was acknowledged and then lost with
   * the processes that knew of it; entries keep a record for a minute.
   */
  @Test
  void acknowledgedDeregistrationOutlivesTheLossOfAllProcesses() throws Exception {
    TestReplica s = start();
    s.replica.heartbeat(coldInstance("i-0", 1));
    s.replica.deregister("i-0").join();
    s.close();
    TestReplica restarted = start();
    restarted.replica.heartbeat(coldInstance("i-0", 2));
    await(() -> phases(poll(restarted, "entry")).equals(List.of(InstancePhase.GONE)));
  }

  /**
   * Guards against requests to an instance whose announcement that it leaves was acknowledged and
   * then lost, when a delayed heartbeat from before it arrives.
   */
  @Test
  void acknowledgedDrainingOutlivesTheLossOfAllProcesses() throws Exception {
    TestReplica s = start();
    s.replica.heartbeat(coldInstance("i-0", 1));
    s.replica.heartbeat(coldInstance("i-0", 2).draining(2)).join();
    s.close();
    TestReplica restarted = start();
    poll(restarted, "entry");
    restarted.replica.heartbeat(coldInstance("i-0", 1));
    await(() -> phases(poll(restarted, "entry")).equals(List.of(InstancePhase.DRAINING)));
    restarted.replica.heartbeat(instance("i-0", 2, 1, SERVICE, "10.0.0.1:1000"));
    await(() -> phases(poll(restarted, "entry")).equals(List.of(InstancePhase.READY)));
  }

  private static List<InstancePhase> phases(FleetPollResult r) {
    return r.instances().stream().map(u -> u.instance().phase()).toList();
  }

  /**
   * Guards against entries that refuse requests for good by prompt parts that were released: a
   * replica that has just started has old ones on its disk, and would block them again everywhere.
   */
  @Test
  void restartedReplicaBlocksPromptPartsOnlyAsLeader() throws Exception {
    TestReplica s = start();
    blockPart(s);
    s.close();
    TestReplica restarted = new TestReplica();
    replicas.add(restarted);
    await(
        () -> {
          FleetPollResult r = poll(restarted, "entry", List.of());
          boolean confirmed = r.stateAgeMillis() != FleetPollResult.UNCONFIRMED;
          assertTrue(confirmed || r.suspicions().isEmpty(), "unconfirmed: " + r.suspicions());
          return confirmed && !r.suspicions().isEmpty();
        });
    assertEquals(1, restarted.replica.applied().quarantine().size());
  }

  /**
   * Guards against a replica that has just started and lets entries refuse requests for good by a
   * configuration that it has from its disk only.
   */
  @Test
  void restartedReplicaConfirmsItsConfigurationOnlyAsLeader() throws Exception {
    TestReplica s = start();
    await(() -> poll(s, "entry", List.of()).stateAgeMillis() < 1_000);
    s.close();
    TestReplica restarted = new TestReplica(false);
    replicas.add(restarted);
    long age = poll(restarted, "entry", List.of()).stateAgeMillis();
    assertEquals(FleetPollResult.UNCONFIRMED, age);
    restarted.replica.start();
    await(() -> poll(restarted, "entry", List.of()).stateAgeMillis() < 1_000);
  }

  /**
   * Guards against an instance that gets no requests because another writer named its address and a
   * service that the configuration does not have.
   */
  @Test
  void instanceOfAnUnknownServiceEndsNoOther() throws Exception {
    TestReplica s = start();
    firstOrders(s);
    FleetInstance sound = coldInstance("i-0", 0);
    s.replica.heartbeat(instance("odd", 2, 1, "unknown", sound.address()));
    List<InstancePhase> phases =
        s.replica.instances().stream()
            .map(InstanceUpdate::instance)
            .filter(i -> i.id().equals("i-0"))
            .map(FleetInstance::phase)
            .toList();
    assertEquals(List.of(InstancePhase.READY), phases);
  }

  /** Guards against a fleet without groups because the orders to one instance cannot be sent. */
  @Test
  void orderThatCannotBeSentDoesNotHoldBackOthers() throws Exception {
    TestReplica s = start();
    s.unreachable = "i-0";
    firstOrders(s);
    assertTrue(s.orders.stream().noneMatch(o -> o.instance().equals("i-0")));
    assertTrue(!s.orders.isEmpty());
  }

  /**
   * Guards against replicas that answer neither entries nor each other while they decode a large
   * configuration.
   */
  @Test
  void pollsAreAnsweredWhileConfigurationIsDecoded() throws Exception {
    TestReplica s = start();
    await(() -> s.decodings.get() == 1);
    s.decoding.acquire();
    try {
      s.replica.install(2, new byte[] {2}).join();
      await(() -> s.decodings.get() == 2);
      assertEquals(2, poll(s, "entry").version());
    } finally {
      s.decoding.release();
    }
  }

  /** Guards against a poll with a malformed replica address that blocks further changes. */
  @Test
  void pollWithMalformedAddressDoesNotBlockChanges() throws Exception {
    TestReplica s = start();
    for (String name : List.of("nobody", "host.example:7000", "10.0.0.1:x", ":1")) {
      FleetPoll p =
          new FleetPoll(
              "stranger", name, 0, -1, 0, 0, true, true, 0, List.of(), List.of(), List.of());
      CompletableFuture<byte[]> answer =
          s.network.ask(s.address, FrameType.FLEET_POLL, "", PollCodec.encodePoll(p), 200);
      assertThrows(CompletionException.class, answer::join);
    }
    assertTrue(isCommitted(s));
  }

  private static FleetPollResult poll(TestReplica s, String entry) {
    return poll(s, entry, List.of());
  }

  private static FleetPollResult poll(TestReplica s, String entry, List<PartSuspicion> suspicions) {
    FleetPoll p =
        new FleetPoll(entry, "", 0, -1, 0, 0, true, true, 0, List.of(), suspicions, List.of());
    byte[] answer =
        s.network.ask(s.address, FrameType.FLEET_POLL, "", PollCodec.encodePoll(p), 1_000).join();
    return PollCodec.decodeResult(answer);
  }

  private final class TestReplica {
    final InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    final ConcurrentLinkedQueue<FleetOrder> orders = new ConcurrentLinkedQueue<>();
    final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    final ScheduledTimerService timers = new ScheduledTimerService(timer);
    final PeerNetwork network =
        new PeerNetwork("replica", new HybridClock(System::currentTimeMillis), timers);
    final ExecutorService executor = Executors.newSingleThreadExecutor();
    final ExecutorService loader = Executors.newSingleThreadExecutor();
    final AtomicInteger decodings = new AtomicInteger();

    /** Each decoding waits for a permit. */
    final Semaphore decoding = new Semaphore(1);

    final FleetReplica replica;
    volatile String unreachable = "";
    private boolean closed;

    TestReplica() {
      this(true);
    }

    /** Creates a replica that has not rejoined the log yet if {@code started} is false. */
    TestReplica(boolean started) {
      String name = "127.0.0.1:" + port;
      ServiceProfile service = new ServiceProfile(SERVICE, 10, 0, 0, FakeFleet.twoModels());
      replica =
          new FleetReplica(
              new FleetReplicaSettings(
                  name, List.of(name), folder, 1, HEARTBEAT_MILLIS, STALL_MILLIS, 5_000),
              network,
              timers,
              new FakeWallClock(timers).newDetector(),
              executor,
              Runnable::run,
              new ConfigLoader(
                  content -> {
                    decodings.incrementAndGet();
                    decoding.acquireUninterruptibly();
                    decoding.release();
                    return new ServingConfig(
                        1, List.of(), Map.of(SERVICE, service), List.of(), ClientLimits.DEFAULT);
                  },
                  loader),
              o -> {
                if (o.instance().equals(unreachable)) {
                  throw new IllegalArgumentException("malformed identifier " + o.instance());
                }
                orders.add(o);
                return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
              },
              EventSink.NONE,
              new ReplicaMetrics(new MetricRegistry()),
              failure -> {
                throw new IllegalStateException(failure);
              });
      replica.register();
      if (started) {
        replica.start();
      }
      network.listen(address);
    }

    void close() {
      if (!closed) {
        closed = true;
        replica.close();
        timer.shutdownNow();
        network.close();
        executor.shutdownNow();
        loader.shutdownNow();
      }
    }
  }
}
