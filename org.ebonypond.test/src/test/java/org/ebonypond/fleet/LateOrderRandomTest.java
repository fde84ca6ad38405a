package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Groups that are formed and given up again within the time in which their orders may be late. A
 * third of the orders gets no answer and is executed 2 to 12 s later.
 */
class LateOrderRandomTest {
  /** The highest fraction of unanswered orders in the users' trials. */
  private static final double LOST_ANSWERS = 0.35;

  private static final int ROUNDS = 60;

  private static FleetPlanner newPlanner() {
    return new FleetPlanner(
        2 * FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.STALL_MILLIS,
        new WeightLoadLimiter(5_000));
  }

  static LongStream seeds() {
    return Seeds.all();
  }

  /** Guards against members that are given away while their head may open the old group again. */
  @ParameterizedTest
  @MethodSource("seeds")
  void membersJoinNoOtherGroupWhileTheirHeadServes(long seed) {
    run(seed, false, 0);
  }

  /** Guards against the same beside changes of the leader. */
  @ParameterizedTest
  @MethodSource("seeds")
  void membersJoinNoOtherGroupAfterChangesOfTheLeader(long seed) {
    run(seed, true, 0);
  }

  /** Guards against the same beside heartbeats that arrive late and out of order. */
  @ParameterizedTest
  @MethodSource("seeds")
  void membersJoinNoOtherGroupWhileHeartbeatsAreLate(long seed) {
    run(seed, false, 2_000);
  }

  private static void run(long seed, boolean changeLeader, long maxHeartbeatDelay) {
    final Random random = new Random(seed);
    FakeFleet f = new FakeFleet(FakeFleet.twoModels(), 3, 8, seed);
    FleetPlanner p = newPlanner();
    p.startTerm(1, true, 4, 0);
    f.run(p, 45_000, true);
    f.setLostAnswerRate(LOST_ANSWERS);
    f.setMaxHeartbeatDelay(maxHeartbeatDelay);
    List<String> ids = new ArrayList<>(f.ids());
    long term = 1;
    for (int i = 0; i < ROUNDS; i++) {
      String id = ids.get(random.nextInt(ids.size()));
      int fault = random.nextInt(changeLeader ? 4 : 3);
      switch (fault) {
        case 0 -> f.drain(id);
        case 1 -> f.crash(id);
        case 2 -> f.restart(id);
        default -> {
          term++;
          p = newPlanner();
          p.startTerm(term, false, 4, f.now());
        }
      }
      f.run(p, 500 + random.nextInt(3_000), false);
      if (i % 4 == 0) {
        ids.forEach(f::heal);
      }
    }
    assertEquals(List.of(), f.violations());
    f.setLostAnswerRate(0);
    f.setMaxHeartbeatDelay(0);
    ids.forEach(f::heal);
    f.run(p, 90_000, false);
    assertEquals(List.of(), f.violations());
    int instances = 4 * f.serving("large") + 2 * f.serving("small");
    assertTrue(instances >= ids.size() / 2, "only " + instances + " instances serve");
  }
}
