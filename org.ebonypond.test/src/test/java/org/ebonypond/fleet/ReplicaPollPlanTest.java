package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaPollPlanTest {
  private static final List<String> REPLICAS = List.of("a", "b", "c");
  private static final long ROUND_MILLIS = 75;

  private final ReplicaPollPlan plan = new ReplicaPollPlan("a");

  private static FleetPollResult answer() {
    return new FleetPollResult(
        1, 1, 1, 0, true, null, List.of(), List.of(), null, 1, 0, List.of(), null, List.of(),
        List.of(), 0);
  }

  /** Returns the number of polls of b in ten seconds if it takes a time to answer each of them. */
  private int polls(long answerMillis) {
    int polls = 0;
    long answerAt = Long.MAX_VALUE;
    for (long t = 0; t < 10_000; t++) {
      if (t >= answerAt) {
        plan.answered("b", answer(), 100, t);
        answerAt = Long.MAX_VALUE;
      }
      if (t % ROUND_MILLIS == 0
          && plan.due(REPLICAS, 1, 0, t).stream().anyMatch(p -> p.replica().equals("b"))) {
        polls++;
        answerAt = t + answerMillis;
      }
    }
    return polls;
  }

  /** Guards against polls that keep a busy replica busy, and are then given up. */
  @Test
  void slowReplicaIsPolledLessOften() {
    int polls = polls(300);
    assertEquals(true, polls <= 13, polls + " polls in 10 s");
  }

  /** Guards against knowledge of the fleet that is older than it need be. */
  @Test
  void promptReplicaIsPolledInEachRound() {
    assertEquals(134, polls(10));
  }

  /** Guards against a replica that is never polled again after a lost answer. */
  @Test
  void replicaIsPolledAgainAfterFailure() {
    assertEquals(2, plan.due(REPLICAS, 1, 0, 0).size());
    plan.failed("b");
    List<PollPlan.PlannedPoll> due = plan.due(REPLICAS, 1, 0, 75);
    assertEquals(List.of(new PollPlan.PlannedPoll("b", true, false)), due);
  }
}
