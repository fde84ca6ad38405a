package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EntryPollPlanTest {
  private static final long TICK_MILLIS = 200;
  private static final List<String> NAMES = List.of("r1", "r2", "r3", "r4", "r5", "r6");

  private final EntryPollPlan plan = new EntryPollPlan("entry");
  private long now;

  private static FleetPollResult answer(long version, boolean ready) {
    return new FleetPollResult(
        1, 1, version, 0, ready, null, List.of(), List.of(), null, 1, 0, List.of(), null, List.of(),
        List.of(), 0);
  }

  private List<PollPlan.PlannedPoll> tick() {
    now += TICK_MILLIS;
    return plan.due(NAMES, 0, 0, now);
  }

  /** Answers all polls for some ticks. */
  private void settle() {
    for (int i = 0; i < 10; i++) {
      tick().forEach(poll -> plan.answered(poll.replica(), answer(0, true), 100, now + 2));
    }
  }

  private static List<String> fetches(List<PollPlan.PlannedPoll> polls) {
    return polls.stream()
        .filter(PollPlan.PlannedPoll::wantsState)
        .map(PollPlan.PlannedPoll::replica)
        .toList();
  }

  /** Guards against an uneven distribution of entries over home replicas. */
  @Test
  void homesAreDistributedOverTheReplicas() {
    Map<String, Integer> homes = new HashMap<>();
    for (int i = 0; i < 600; i++) {
      EntryPollPlan p = new EntryPollPlan("front-" + i);
      p.due(NAMES, 0, 0, 0);
      homes.merge(String.valueOf(p.home()), 1, Integer::sum);
    }
    assertEquals(NAMES.size(), homes.size());
    homes.values().forEach(n -> assertTrue(n > 60 && n < 140, homes.toString()));
  }

  /** Guards against entries that keep a home that does not answer or has no majority. */
  @Test
  void homeIsReplacedWhenSilentOrNotReady() {
    settle();
    String first = plan.home();
    for (int i = 0; i < 5; i++) {
      tick().stream()
          .filter(poll -> !poll.replica().equals(first))
          .forEach(poll -> plan.answered(poll.replica(), answer(0, true), 100, now));
    }
    String second = plan.home();
    assertNotEquals(first, second);
    for (int i = 0; i < 5; i++) {
      for (PollPlan.PlannedPoll poll : tick()) {
        boolean ready = !poll.replica().equals(second);
        plan.answered(poll.replica(), answer(0, ready), 100, now);
      }
    }
    assertNotEquals(second, plan.home());
  }

  /**
   * Guards against fetching a large configuration twice, while the first transfer is in progress.
   */
  @Test
  void configurationIsFetchedFromOneReplicaOnly() {
    settle();
    String home = String.valueOf(plan.home());
    List<PollPlan.PlannedPoll> first = tick();
    assertEquals(List.of(home), fetches(first));
    // The home's answer takes 4 s; the other replicas report a newer version.
    for (int i = 0; i < 20; i++) {
      for (PollPlan.PlannedPoll poll : tick()) {
        assertEquals(false, poll.wantsState(), poll.toString());
        plan.answered(poll.replica(), answer(7, true), 100, now);
      }
    }
    plan.failed(home);
    assertEquals(1, fetches(tick()).size());
  }

  /** Guards against missing a change that has not reached the home. */
  @Test
  void newerVersionIsFetchedElsewhereWhenTheHomeLacksIt() {
    settle();
    String home = String.valueOf(plan.home());
    long since = now;
    for (int i = 0; i < 10; i++) {
      for (PollPlan.PlannedPoll poll : tick()) {
        boolean elsewhere = !poll.replica().equals(home);
        if (elsewhere && poll.wantsState()) {
          assertTrue(now - since <= 1_500, "fetched after " + (now - since) + " ms");
          return;
        }
        plan.answered(poll.replica(), answer(elsewhere ? 7 : 0, true), 100, now);
      }
    }
    throw new AssertionError("never fetched");
  }
}
