package org.ebonypond.server.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;

class AnnouncementRelayTest {
  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final ManualPeers peers = new ManualPeers();
  private final AnnouncementRelay relay =
      new AnnouncementRelay(
          peers, timers, wallClock.newDetector(), ManualPeers.REPLICAS, () -> "r0");

  private static InstanceReport.Item announcement(String instance) {
    InstanceAnnouncement a =
        new InstanceAnnouncement(
            instance,
            "boot",
            "10.0.0.1:80",
            "z",
            "d",
            InstanceKind.SERVICE,
            "orders",
            EngineStatus.READY,
            "",
            0,
            0);
    return new InstanceReport.Item(a, new ReportedLoad(instance, "boot", true, 10, 0, 0, 0, 0));
  }

  /**
   * Guards against an overload of a starting backend server: the leader would take a load from
   * before a suspension of the entry for a recent one, and grant slots that are still in use.
   */
  @Test
  void loadFromBeforeSuspensionIsNotForwarded() {
    relay.start();
    timers.advance(100);
    relay.add(announcement("s0"));
    wallClock.suspend(5_000);
    timers.advance(50);
    relay.add(announcement("s1"));
    timers.advance(50);
    assertEquals(List.of(), peers.sent);
    timers.advance(50);
    relay.add(announcement("s2"));
    timers.advance(150);
    InstanceReport r = MessagePackCodec.decode(peers.sent.get(0), InstanceReport.class);
    assertEquals(List.of("s2"), r.items().stream().map(i -> i.load().instance()).toList());
    assertEquals(160, r.items().get(0).load().ageMillis());
  }
}
