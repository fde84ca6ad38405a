package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstanceLoad;
import org.junit.jupiter.api.Test;

/** The traffic and work of polls between entries and control replicas, and what they propagate. */
class ControlTrafficTest {
  /** The users' limit on control traffic, in bytes per second and node. */
  private static final long MAX_BYTES_PER_SECOND = 27_000;

  private static final int SECONDS = 10;

  /** The number of group heads at which each entry has requests in flight. */
  private static final int HEADS = 40;

  private static void run(PollNetwork network, int seconds) {
    network.timers.advance(1_000L * seconds);
  }

  /** Guards against control traffic that saturates the small machines of a large fleet. */
  @Test
  void controlTrafficOfAnEntryStaysWithinItsLimit() {
    PollNetwork network = new PollNetwork(6, 75, HEADS);
    run(network, SECONDS);
    long before = network.entries.get(0).bytes();
    run(network, SECONDS);
    long perSecond = (network.entries.get(0).bytes() - before) / SECONDS;
    assertTrue(perSecond <= MAX_BYTES_PER_SECOND, perSecond + " bytes a second");
  }

  /** Guards against a configuration that every control replica sends to each entry. */
  @Test
  void eachVersionOfTheConfigurationIsSentToAnEntryOnce() {
    PollNetwork network = new PollNetwork(6, 20, HEADS);
    run(network, SECONDS);
    for (int version = 1; version <= 5; version++) {
      network.commit(version, new byte[] {(byte) version});
      run(network, 3);
    }
    for (PollNetwork.Entry e : network.entries) {
      assertEquals(5, e.version());
      assertEquals(5, e.receivedDocuments(), e.name);
    }
  }

  /** Guards against a large configuration that exceeds the limit on control traffic. */
  @Test
  void distributionOfLargeConfigurationStaysWithinTheLimit() {
    PollNetwork network = new PollNetwork(6, 20, HEADS);
    run(network, SECONDS);
    byte[] content = manyRoutes().getBytes(StandardCharsets.UTF_8);
    final long before = network.entries.get(0).bytes();
    network.commit(1, content);
    run(network, SECONDS);
    for (PollNetwork.Entry e : network.entries) {
      assertArrayEquals(content, e.content);
    }
    long perSecond = (network.entries.get(0).bytes() - before) / SECONDS;
    assertTrue(perSecond <= MAX_BYTES_PER_SECOND, perSecond + " bytes a second");
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
   * Guards against replicas whose event loop is saturated by the loads of the entries: twice the
   * entries may cause twice the work, but not four times.
   */
  @Test
  void workForLoadsIsLinearInTheNumberOfEntries() {
    long small = summedLoadsPerSecond(30);
    long large = summedLoadsPerSecond(120);
    assertTrue(large <= 4 * small, small + " and " + large + " records");
  }

  private static long summedLoadsPerSecond(int entries) {
    PollNetwork network = new PollNetwork(3, entries, HEADS);
    run(network, SECONDS);
    long before = summedLoads(network);
    run(network, 1);
    return summedLoads(network) - before;
  }

  private static long summedLoads(PollNetwork network) {
    return network.replicas.values().stream().mapToLong(r -> r.loads.summed()).sum();
  }

  /** Guards against a change that an entry misses because only one replica has it. */
  @Test
  void changeHeldByOneReplicaReachesEveryEntry() {
    PollNetwork network = new PollNetwork(5, 20, HEADS);
    run(network, SECONDS);
    for (PollNetwork.Replica r : network.replicas.values()) {
      long version = network.entries.get(0).version() + 1;
      r.commit(version, new byte[] {1, 2, 3});
      network.timers.advance(1_500);
      for (PollNetwork.Entry e : network.entries) {
        assertEquals(version, e.version(), e.name);
        assertArrayEquals(new byte[] {1, 2, 3}, e.content);
      }
    }
  }

  /** Guards against entries that select instances without the load of other entries. */
  @Test
  void entriesLearnTheLoadOfAllOthersAndNotTheirOwn() {
    PollNetwork network = new PollNetwork(5, 30, 0);
    run(network, SECONDS);
    network.entries.forEach(e -> e.loads(List.of(new InstanceLoad("head", 3, 2, 500, 20, 0))));
    run(network, 2);
    for (PollNetwork.Entry e : network.entries) {
      InstanceLoad l = e.loadsOfOthers.get("head");
      assertEquals(29 * 2, l.active(), e.name);
      assertEquals(29 * 500, l.prefillTokens(), e.name);
    }
    network.entries.get(0).loads(List.of());
    run(network, 1);
    assertEquals(28 * 2, network.entries.get(1).loadsOfOthers.get("head").active());
  }

  /** Guards against entries that get no more changes after their home replica has stopped. */
  @Test
  void entriesSwitchToAnotherReplicaWhenOneStops() {
    PollNetwork network = new PollNetwork(5, 20, HEADS);
    run(network, SECONDS);
    for (String stopped : List.copyOf(network.replicas.keySet()).subList(0, 2)) {
      network.stop(stopped);
      network.timers.advance(500);
      PollNetwork.Replica last = network.replicas.get("10.0.0.5:7000");
      last.heartbeat(PollNetwork.instance("i-after-" + stopped, 1));
      last.commit(network.entries.get(0).version() + 1, new byte[] {1});
      run(network, 2);
      for (PollNetwork.Entry e : network.entries) {
        assertTrue(e.instances.containsKey("i-after-" + stopped), e.name + " after " + stopped);
        assertEquals(last.name, "10.0.0.5:7000");
      }
    }
  }

  /**
   * Guards against a restarted replica that stays overloaded: all entries requested the whole fleet
   * at once, timed out before the answers arrived, and requested the whole fleet again.
   */
  @Test
  void restartedReplicaWithManyEntriesRecovers() {
    PollNetwork network = new PollNetwork(3, 75, HEADS);
    Runnable heartbeats =
        () -> {
          for (int i = 0; i < 174; i++) {
            PollNetwork.Replica r = network.replicas.get("10.0.0." + (1 + i % 3) + ":7000");
            r.heartbeat(PollNetwork.instance("i-" + i, network.timers.nowMillis()));
          }
        };
    network.timers.every(1_000, heartbeats);
    run(network, SECONDS);
    String name = "10.0.0.2:7000";
    PollNetwork.Replica r = network.replicas.get(name);
    network.restart(name);
    run(network, 5);
    double before = r.busyMillis();
    run(network, SECONDS);
    double busyFraction = (r.busyMillis() - before) / (1_000.0 * SECONDS);
    assertTrue(busyFraction < 0.5, "busy for " + busyFraction + " of the time");
    assertEquals(174, r.table.all(network.timers.nowMillis()).size());
    assertEquals(0, network.entries.stream().filter(e -> e.instances.size() != 174).count());
  }

  /** Guards against a replica that is never polled again after an answer that cannot be decoded. */
  @Test
  void entriesContinueAfterMalformedAnswers() {
    PollNetwork network = new PollNetwork(3, 5, 0);
    run(network, SECONDS);
    network.corruptAnswers(true);
    run(network, 2);
    network.corruptAnswers(false);
    network.commit(1, new byte[] {1});
    run(network, 2);
    network.entries.forEach(e -> assertEquals(1, e.version(), e.name));
  }

  /** Guards against instances considered lost because two replicas cannot reach each other. */
  @Test
  void heartbeatsReachDisconnectedReplicasThroughOthers() {
    PollNetwork network = new PollNetwork(3, 3, 0);
    run(network, SECONDS);
    network.disconnect("10.0.0.1:7000", "10.0.0.3:7000");
    for (int i = 1; i <= 20; i++) {
      FleetInstance heartbeat = PollNetwork.instance("i-1", i);
      network.replicas.get("10.0.0.1:7000").heartbeat(heartbeat);
      run(network, 1);
      var known = network.replicas.get("10.0.0.3:7000").table.all(network.timers.nowMillis());
      assertEquals(1, known.size());
      assertTrue(known.get(0).ageMillis() <= 1_000, known.toString());
    }
  }
}
