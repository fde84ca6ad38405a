package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.LimitsSpec;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.ServiceSpec;
import org.ebonypond.junit.FakeColdServer;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.Faults;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.Seeds;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareAllocator;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.routing.RoutingTable;
import org.ebonypond.routing.Target;
import org.ebonypond.server.control.ReportedLoad;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an overload of a starting backend server by several entries together. */
class ShareClientTest {
  private static final int CEILING = 4;

  private final Random random = new Random(1);
  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final Faults faults = new Faults(timers, random);
  private final FakeColdServer server =
      new FakeColdServer(
          timers, "instance/s0", CEILING, 32, 600_000, () -> 10 + random.nextInt(2_000));
  private final ShareAllocator leader = new ShareAllocator(1, -10_000);
  private final List<ShareClient> clients = new ArrayList<>();
  private Target target = target();

  static LongStream seeds() {
    return Seeds.few();
  }

  private ShareClient client() {
    FakePeers peers = new FakePeers(timers);
    peers.handlers.put(
        FrameType.SHARE_REQUEST,
        (type, payload, reply) ->
            faults.deliver(
                () ->
                    leader
                        .onRequest(
                            MessagePackCodec.decode(payload, ShareRequest.class),
                            timers.nowMillis())
                        .forEach(
                            g -> faults.deliver(() -> reply.accept(MessagePackCodec.encode(g))))));
    ShareClient c =
        new ShareClient(
            new HolderId("e" + clients.size(), 1),
            peers,
            timers,
            wallClock.newDetector(),
            FakePeers.REPLICAS,
            () -> "r1",
            () -> {});
    c.onTable(RoutingTable.of(view()));
    c.start();
    clients.add(c);
    return c;
  }

  private ControlView view() {
    ServiceSpec spec = new ServiceSpec(EntryFixture.SERVICE, 32, CEILING, 60, List.of());
    ServiceDocument d =
        new ServiceDocument(
            1, List.of(), List.of(spec), List.of(), List.of(), LimitsSpec.DEFAULT, "");
    InstanceRecord s =
        new InstanceRecord(
            "s0",
            server.target().boot(),
            "s0:80",
            "z",
            "d",
            InstanceKind.SERVICE,
            EntryFixture.SERVICE,
            InstanceStatus.UP,
            1);
    return new ControlView(1, d, "", Set.of(), Map.of("s0", s), Map.of());
  }

  private Target target() {
    List<Target> all = RoutingTable.of(view()).service(EntryFixture.SERVICE);
    if (all == null) {
      throw new AssertionError("the service is not declared");
    }
    return all.get(0);
  }

  private static ReportedLoad load(String boot, long age, int active) {
    return new ReportedLoad("s0", boot, true, age, age, active, 0, 0);
  }

  private void start(ShareClient c, Target t) {
    if (!c.tryAcquire(t, timers.nowMillis())) {
      return;
    }
    boolean connectionBreaks = faults.occurs(0.05);
    server.offer(
        new org.ebonypond.lease.ShareTarget("instance/s0", t.boot()),
        () -> {
          if (!connectionBreaks) {
            timers.after(3, () -> c.release(t, timers.nowMillis()));
          }
        });
    if (connectionBreaks) {
      timers.after(10, () -> c.lost(t, timers.nowMillis()));
    }
  }

  private int acquireAll(ShareClient c) {
    int n = 0;
    while (n < 100 && c.tryAcquire(target, timers.nowMillis())) {
      n++;
    }
    return n;
  }

  @Test
  void lostConnectionKeepsItsSlotUntilTheServerReports() {
    leader.addTarget(server.target(), server.ramp(), true);
    ShareClient c = client();
    int taken = 0;
    for (int i = 0; i < 10; i++) {
      taken += acquireAll(c);
      timers.advance(100);
    }
    assertEquals(CEILING, taken);
    c.lost(target, 0);
    timers.advance(400);
    assertFalse(c.tryAcquire(target, 0));
    c.onLoad(load("ot-1", 0, 0));
    assertFalse(c.tryAcquire(target, 0), "the report of another boot released the slot");
    c.onLoad(load("boot-1", 0, 0));
    assertTrue(c.tryAcquire(target, 0));
  }

  /**
   * Guards against requests under a share that has lapsed while the entry was suspended, and that
   * the leader has granted to other entries since.
   */
  @Test
  void sharesLapseWithSuspension() {
    leader.addTarget(server.target(), server.ramp(), true);
    ShareClient c = client();
    c.tryAcquire(target, 0);
    timers.advance(100);
    assertTrue(c.tryAcquire(target, 0));
    c.release(target, 0);
    wallClock.suspend(5_000);
    assertFalse(c.tryAcquire(target, 0));
    timers.advance(50);
    // A request of the millisecond of the look may have been sent before the suspension.
    assertFalse(c.tryAcquire(target, 0));
    timers.advance(100);
    assertTrue(c.tryAcquire(target, 0));
  }

  @Test
  void restartInvalidatesTheSharesOfThePreviousBoot() {
    leader.addTarget(server.target(), server.ramp(), true);
    ShareClient c = client();
    acquireAll(c);
    timers.advance(100);
    assertTrue(acquireAll(c) > 0);
    final Target previous = target;
    server.restart();
    target = target();
    c.onTable(RoutingTable.of(view()));
    assertFalse(c.tryAcquire(previous, 0));
    assertFalse(c.tryAcquire(target, 0), "no share of the new boot was granted");
    leader.addTarget(server.target(), server.ramp(), true);
    timers.advance(100);
    int n = acquireAll(c);
    assertTrue(n > 0 && n <= CEILING, "slots of the new boot: " + n);
    c.release(previous, 0);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void requestsOfAllEntriesNeverExceedTheCeiling(long seed) {
    random.setSeed(seed);
    leader.addTarget(server.target(), server.ramp(), true);
    faults.set(0.1, 0.1, 0.1, 4_000);
    for (int i = 0; i < 4; i++) {
      client();
    }
    timers.every(100, () -> leader.lapse(timers.nowMillis()));
    timers.every(500, this::report);
    for (int i = 0; i < 2_500; i++) {
      timers.advance(20);
      start(clients.get(random.nextInt(clients.size())), target);
      if (random.nextInt(500) == 0) {
        restart();
      }
      assertEquals(0, server.overloads(), "overloads at " + timers.nowMillis());
    }
    assertTrue(server.served() > 50, "served " + server.served());
  }

  private void report() {
    final long measured = timers.nowMillis();
    final int active = server.active();
    final var t = server.target();
    faults.deliver(
        () -> {
          leader.onLoad(t, measured, active);
          ReportedLoad l = load(t.boot(), timers.nowMillis() - measured, active);
          clients.forEach(c -> c.onLoad(l));
        });
  }

  private void restart() {
    server.restart();
    timers.after(
        50 + random.nextInt(300),
        () -> {
          leader.addTarget(server.target(), server.ramp(), true);
          target = target();
          clients.forEach(c -> c.onTable(RoutingTable.of(view())));
        });
  }
}
