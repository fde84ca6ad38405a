package org.ebonypond.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.junit.Seeds;
import org.ebonypond.junit.ShareCluster;
import org.ebonypond.junit.SimulatedShareEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ShareRandomTest {
  static LongStream seeds() {
    return Seeds.all();
  }

  /**
   * Guards against overload of a starting server and against permanently unused slots, while
   * messages are lost, entries crash, pause and are partitioned, and servers and leaders change.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void startingServerIsNeverOverloaded(long seed) {
    Random random = new Random(seed);
    ShareCluster c = new ShareCluster(seed, 2 + random.nextInt(5), 40_000, 3_000);
    for (int i = 0; i < 6; i++) {
      c.addEntry().setBreakRate(0.02);
    }
    c.faults().set(0.1, 0.1, 0.1, 5_000);
    for (int i = 0; i < 1_200; i++) {
      injectFault(c, random);
      c.timers().advance(100);
      assertEquals(0, c.server().overloads(), "overloads at " + c.timers().nowMillis());
    }
    c.faults().clear();
    c.restartServer();
    c.addEntry();
    c.timers().advance(30_000);
    assertEquals(0, c.server().overloads());
    int served = c.server().served();
    c.timers().advance(5_000);
    assertTrue(c.server().served() > served, "no request was served after the faults ended");
  }

  private static void injectFault(ShareCluster c, Random random) {
    SimulatedShareEntry e = c.entries().get(random.nextInt(c.entries().size()));
    switch (random.nextInt(100)) {
      case 0 -> c.restartServer();
      case 1 -> c.electLeader();
      case 2 -> c.removeAndAddServer();
      case 3 -> {
        if (c.entries().size() > 3) {
          e.kill();
          c.entries().remove(e);
        }
      }
      case 4 -> c.addEntry().setBreakRate(0.02);
      case 5, 6, 7 -> e.freeze(random.nextInt(8_000));
      case 8, 9, 10 -> {
        e.setCutOff(true);
        c.timers().after(random.nextInt(10_000), () -> e.setCutOff(false));
      }
      case 11, 12 -> e.setHasCallers(random.nextBoolean());
      default -> {
        // Most ticks inject no fault.
      }
    }
  }

  /**
   * Checks that the fake server detects a leader that grants without waiting for earlier shares.
   */
  @Test
  void leaderThatIgnoresEarlierSharesOverloadsTheServer() {
    ShareCluster c = new ShareCluster(1, 4, 40_000, 3_000);
    c.trustNewLeaders();
    SimulatedShareEntry first = c.addEntry();
    c.timers().advance(2_000);
    c.addEntry();
    first.setCutOff(true);
    c.electLeader();
    c.timers().advance(2_000);
    assertTrue(c.server().overloads() > 0);
  }

  /** Checks that the fake server detects a leader that releases lapsed shares without a report. */
  @Test
  void releaseOfLapsedSharesWithoutReportOverloadsTheServer() {
    ShareCluster c = new ShareCluster(1, 4, 200_000, 60_000);
    SimulatedShareEntry first = c.addEntry();
    c.timers().advance(2_000);
    first.kill();
    c.addEntry();
    c.timers().advance(4_000);
    assertEquals(0, c.server().overloads());
    c.leader().onLoad(c.server().target(), c.timers().nowMillis(), 0);
    c.timers().advance(2_000);
    assertTrue(c.server().overloads() > 0);
  }
}
