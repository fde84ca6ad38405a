package org.ebonypond.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.ebonypond.fleet.FleetPlanner;
import org.ebonypond.fleet.WeightLoadLimiter;
import org.ebonypond.junit.FakeFleet;

/**
 * Measures, on modelled engines, the time from the planned stop of a member until at least half of
 * the rest of its group serves again: {@code RegroupTime [SEEDS]}. A group is stopped either long
 * after it was opened or at once, when its orders may still be late.
 */
public final class RegroupTime {
  private static final int DEFAULT_SEEDS = 200;
  private static final long STEP_MILLIS = 100;
  private static final long MAX_MILLIS = 60_000;

  /** The fractions of unanswered orders: none, and the highest one in the users' trials. */
  private static final double[] LOST_ANSWERS = {0, 0.35};

  private RegroupTime() {}

  /** Prints one line for each fraction of unanswered orders and age of the group. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    for (double lost : LOST_ANSWERS) {
      for (boolean isFresh : new boolean[] {false, true}) {
        long[] millis = new long[seeds];
        for (int i = 0; i < seeds; i++) {
          millis[i] = measure(i + 1, lost, isFresh);
        }
        Arrays.sort(millis);
        System.out.printf(
            Locale.ROOT,
            "lost %.2f, %s group: median %d ms, p90 %d ms, p99 %d ms, max %d ms%n",
            lost,
            isFresh ? "new" : "old",
            millis[seeds / 2],
            millis[seeds * 9 / 10],
            millis[seeds * 99 / 100],
            millis[seeds - 1]);
      }
    }
  }

  private static long measure(long seed, double lost, boolean isFresh) {
    FakeFleet fleet = new FakeFleet(FakeFleet.twoModels(), 6, 8, seed);
    FleetPlanner planner =
        new FleetPlanner(
            2 * FakeFleet.HEARTBEAT_MILLIS + 400,
            FakeFleet.HEARTBEAT_MILLIS + 400,
            FakeFleet.STALL_MILLIS,
            new WeightLoadLimiter(5_000));
    planner.startTerm(1, true, 4, 0);
    fleet.run(planner, 50_000, true);
    // Varies the phase of the heartbeats.
    fleet.run(planner, STEP_MILLIS * new Random(seed).nextInt(12), false);
    fleet.setLostAnswerRate(lost);
    List<String> members = groupOf(fleet);
    if (isFresh) {
      millisUntilRestServes(fleet, planner, members);
      members =
          members.stream()
              .filter(fleet::serves)
              .map(fleet::membersOf)
              .findFirst()
              .orElse(List.of());
    }
    return millisUntilRestServes(fleet, planner, members);
  }

  private static long millisUntilRestServes(
      FakeFleet fleet, FleetPlanner planner, List<String> members) {
    if (members.isEmpty()) {
      return MAX_MILLIS;
    }
    List<String> rest = members.subList(0, members.size() - 1);
    fleet.drain(members.get(members.size() - 1));
    long millis = 0;
    boolean hasStopped = false;
    while (millis < MAX_MILLIS) {
      fleet.run(planner, STEP_MILLIS, false);
      millis += STEP_MILLIS;
      boolean isOld = rest.stream().anyMatch(m -> fleet.membersOf(m).equals(members));
      hasStopped |= !isOld;
      long serving = rest.stream().filter(fleet::serves).count();
      if (hasStopped && !isOld && 2 * serving >= rest.size()) {
        return millis;
      }
    }
    return MAX_MILLIS;
  }

  private static List<String> groupOf(FakeFleet fleet) {
    String head = fleet.head("large");
    return head == null ? List.of() : fleet.membersOf(head);
  }
}
