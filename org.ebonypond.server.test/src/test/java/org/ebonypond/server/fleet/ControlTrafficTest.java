package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.HeadLoad;
import org.junit.jupiter.api.Test;

/** What polls between entries and control replicas cost, and what they bring. */
class ControlTrafficTest {
  /** The users' limit for control, in bytes a second for each node. */
  private static final long LIMIT_BYTES = 27_000;

  private static final int SECONDS = 10;
  private static final int HEADS = 40;

  private static void run(PollNetwork n, int seconds) {
    n.timers.advance(1_000L * seconds);
  }

  /** Guards against control traffic that saturates the small machines of a large fleet. */
  @Test
  void controlTrafficOfAnEntryStaysWithinItsLimit() {
    PollNetwork n = new PollNetwork(6, 75, HEADS);
    run(n, SECONDS);
    long before = n.entries.get(0).bytes();
    run(n, SECONDS);
    long perSecond = (n.entries.get(0).bytes() - before) / SECONDS;
    assertTrue(perSecond <= LIMIT_BYTES, perSecond + " bytes a second");
  }

  /** Guards against a configuration that takes an entry's link once for each control replica. */
  @Test
  void eachVersionOfTheConfigurationIsSentToAnEntryOnce() {
    PollNetwork n = new PollNetwork(6, 20, HEADS);
    run(n, SECONDS);
    for (int version = 1; version <= 5; version++) {
      n.commit(version, new byte[] {(byte) version});
      run(n, 3);
    }
    for (PollNetwork.Entry e : n.entries) {
      assertEquals(5, e.version());
      assertEquals(5, e.contents(), e.name);
    }
  }

  /** Guards against a configuration of many routes that is not in force in time. */
  @Test
  void configurationOfManyRoutesStaysWithinTheLimitWhileItSpreads() {
    PollNetwork n = new PollNetwork(6, 20, HEADS);
    run(n, SECONDS);
    byte[] content = manyRoutes().getBytes(StandardCharsets.UTF_8);
    final long before = n.entries.get(0).bytes();
    n.commit(1, content);
    run(n, SECONDS);
    for (PollNetwork.Entry e : n.entries) {
      assertArrayEquals(content, e.content);
    }
    long perSecond = (n.entries.get(0).bytes() - before) / SECONDS;
    assertTrue(perSecond <= LIMIT_BYTES, perSecond + " bytes a second");
  }

  private static String manyRoutes() {
    Random random = new Random(1);
    StringBuilder b = new StringBuilder("{\"version\":1,\"routes\":[");
    for (int i = 0; i < 1_600; i++) {
      String name = Long.toString(Math.abs(random.nextLong()), 36).substring(0, 7);
      b.append(i == 0 ? "" : ",");
      b.append("{\"name\":\"r-").append(name).append("\",\"host\":\"ficu95.example\",");
      b.append("\"path_prefix\":\"/").append(name).append("/\",\"type\":\"stream\",");
      b.append("\"timeout_ms\":8000,\"slo_ms\":500,\"priority\":1,\"service\":\"huvo11a\",");
      b.append("\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,");
      b.append("\"gap_slo_ms\":300}");
    }
    return b.append("]}").toString();
  }

  /**
   * Guards against replicas whose event loop is taken by the loads of the entries: twice the
   * entries may take twice the work, not four times.
   */
  @Test
  void workForLoadsGrowsWithTheEntriesNotWithTheirSquare() {
    long small = summedInOneSecond(30);
    long large = summedInOneSecond(120);
    assertTrue(large <= 4 * small, small + " and " + large + " records");
  }

  private static long summedInOneSecond(int entries) {
    PollNetwork n = new PollNetwork(3, entries, HEADS);
    run(n, SECONDS);
    long before = summed(n);
    run(n, 1);
    return summed(n) - before;
  }

  private static long summed(PollNetwork n) {
    return n.replicas.values().stream().mapToLong(r -> r.loads.summed()).sum();
  }

  /** Guards against a change that an entry misses because only one replica can tell it. */
  @Test
  void changeThatOneReplicaHoldsReachesEveryEntry() {
    PollNetwork n = new PollNetwork(5, 20, HEADS);
    run(n, SECONDS);
    for (PollNetwork.Replica r : n.replicas.values()) {
      long version = n.entries.get(0).version() + 1;
      r.commit(version, new byte[] {1, 2, 3});
      n.timers.advance(1_500);
      for (PollNetwork.Entry e : n.entries) {
        assertEquals(version, e.version(), e.name);
        assertArrayEquals(new byte[] {1, 2, 3}, e.content);
      }
    }
  }

  /** Guards against entries that route without the loads of the others. */
  @Test
  void entriesLearnTheLoadOfAllOthersAndNotTheirOwn() {
    PollNetwork n = new PollNetwork(5, 30, 0);
    run(n, SECONDS);
    n.entries.forEach(e -> e.loads(List.of(new HeadLoad("head", 3, 2, 500, 20, 0))));
    run(n, 2);
    for (PollNetwork.Entry e : n.entries) {
      HeadLoad l = e.others.get("head");
      assertEquals(29 * 2, l.active(), e.name);
      assertEquals(29 * 500, l.prefillTokens(), e.name);
    }
    n.entries.get(0).loads(List.of());
    run(n, 1);
    assertEquals(28 * 2, n.entries.get(1).others.get("head").active());
  }

  /** Guards against entries that lose the fleet with one control replica. */
  @Test
  void entriesGoOnWithAnotherReplicaWhenOneEnds() {
    PollNetwork n = new PollNetwork(5, 20, HEADS);
    run(n, SECONDS);
    for (String ended : List.copyOf(n.replicas.keySet()).subList(0, 2)) {
      n.end(ended);
      n.timers.advance(500);
      PollNetwork.Replica last = n.replicas.get("10.0.0.5:7000");
      last.heartbeat(PollNetwork.instance("i-after-" + ended, 1));
      last.commit(n.entries.get(0).version() + 1, new byte[] {1});
      run(n, 2);
      for (PollNetwork.Entry e : n.entries) {
        assertTrue(e.instances.containsKey("i-after-" + ended), e.name + " after " + ended);
        assertEquals(last.name, "10.0.0.5:7000");
      }
    }
  }

  /**
   * Guards against a replica that never recovers from a start: all entries asked it for the whole
   * fleet at once, gave up before the answers came, and asked for the whole fleet again.
   */
  @Test
  void replicaThatStartsAgainAmongManyEntriesRecovers() {
    PollNetwork n = new PollNetwork(3, 75, HEADS);
    Runnable heartbeats =
        () -> {
          for (int i = 0; i < 174; i++) {
            PollNetwork.Replica r = n.replicas.get("10.0.0." + (1 + i % 3) + ":7000");
            r.heartbeat(PollNetwork.instance("i-" + i, n.timers.nowMillis()));
          }
        };
    n.timers.every(1_000, heartbeats);
    run(n, SECONDS);
    String name = "10.0.0.2:7000";
    PollNetwork.Replica r = n.replicas.get(name);
    n.restart(name);
    run(n, 5);
    double before = r.busyMillis();
    run(n, SECONDS);
    double busy = (r.busyMillis() - before) / (1_000.0 * SECONDS);
    assertTrue(busy < 0.5, "busy for " + busy + " of the time");
    assertEquals(174, r.table.all(n.timers.nowMillis()).size());
    assertEquals(0, n.entries.stream().filter(e -> e.instances.size() != 174).count());
  }

  /** Guards against a replica that is never asked again after an answer that cannot be read. */
  @Test
  void entriesGoOnAfterDamagedAnswers() {
    PollNetwork n = new PollNetwork(3, 5, 0);
    run(n, SECONDS);
    n.damage(true);
    run(n, 2);
    n.damage(false);
    n.commit(1, new byte[] {1});
    run(n, 2);
    n.entries.forEach(e -> assertEquals(1, e.version(), e.name));
  }

  /** Guards against instances that count as lost because two replicas cannot reach each other. */
  @Test
  void heartbeatsReachEveryReplicaOverOthers() {
    PollNetwork n = new PollNetwork(3, 3, 0);
    run(n, SECONDS);
    n.cut("10.0.0.1:7000", "10.0.0.3:7000");
    for (int i = 1; i <= 20; i++) {
      FleetInstance beat = PollNetwork.instance("i-1", i);
      n.replicas.get("10.0.0.1:7000").heartbeat(beat);
      run(n, 1);
      var known = n.replicas.get("10.0.0.3:7000").table.all(n.timers.nowMillis());
      assertEquals(1, known.size());
      assertTrue(known.get(0).ageMillis() <= 1_000, known.toString());
    }
  }
}
