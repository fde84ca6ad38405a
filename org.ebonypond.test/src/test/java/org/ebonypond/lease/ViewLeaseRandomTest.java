package org.ebonypond.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.junit.FakeReplicaLogs;
import org.ebonypond.junit.Faults;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ViewLeaseRandomTest {
  private final ManualTimerService timers = new ManualTimerService();

  static LongStream seeds() {
    return Seeds.all();
  }

  /**
   * Guards against requests under a view that lacks an entry committed 3 s ago, while messages are
   * lost and delayed, voters change, and the entry is partitioned or applies commands late.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void requestsStartOnlyUnderFreshViews(long seed) {
    Random random = new Random(seed);
    Faults faults = new Faults(timers, new Random(seed + 1));
    faults.set(0.1, 0.1, 0.2, 4_000);
    FakeReplicaLogs replicas = new FakeReplicaLogs(timers, random, faults);
    ViewLease lease = new ViewLease();
    long applied = 0;
    int started = 0;
    long blockedUntil = 0;
    for (int i = 0; i < 5_000; i++) {
      long now = timers.nowMillis();
      switch (random.nextInt(100)) {
        case 0, 1, 2 -> replicas.commit();
        case 3 -> replicas.changeVoters();
        case 4 -> blockedUntil = now + random.nextInt(3_000);
        case 5 -> faults.set(random.nextInt(3) == 0 ? 1 : 0.1, 0.1, 0.2, 4_000);
        case 6, 7, 8, 9, 10, 11 -> replicas.poll(lease);
        default -> {
          // Most steps only advance the clock.
        }
      }
      if (now >= blockedUntil && random.nextInt(10) == 0) {
        applied = Math.max(applied, replicas.committedAt(now - random.nextInt(1_000)));
        lease.onApplied(applied);
      }
      if (lease.mayStart(now)) {
        started++;
        long required = replicas.committedAt(now - ViewLease.LEASE_MILLIS);
        assertTrue(applied >= required, "applied " + applied + " of " + required + " at " + now);
      }
      timers.advance(20);
    }
    assertTrue(started > 500, "the lease was held in only " + started + " of 5000 steps");
  }
}
