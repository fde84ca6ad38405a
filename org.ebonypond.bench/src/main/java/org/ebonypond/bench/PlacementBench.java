package org.ebonypond.bench;

import java.util.Locale;
import org.ebonypond.group.GreedyPolicy;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.ScoredPolicy;

/**
 * Compares the placement policies in simulated runs with the same seeds, and measures planning
 * time. Arguments: the number of seeds (default 10; 0 skips the comparison) and the simulated
 * minutes of each run (default 60).
 */
public final class PlacementBench {
  private static final int DEFAULT_SEEDS = 10;
  private static final int DEFAULT_MINUTES = 60;
  private static final int[] SIZES = {100, 1_000, 10_000, 80_000};

  private PlacementBench() {}

  /** Prints the comparison and the planning times. */
  public static void main(String[] args) {
    final int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    final int minutes = args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_MINUTES;
    if (seeds > 0) {
      compare(seeds, minutes);
      System.out.println();
    }
    planningTimes();
  }

  private static void compare(int seeds, int minutes) {
    System.out.printf(Locale.ROOT, "%d seeds, %d minutes of manual time each%n", seeds, minutes);
    System.out.printf(
        Locale.ROOT,
        "%-16s %-8s %20s %25s %8s%n",
        "load",
        "policy",
        "group-seconds down",
        "instance-seconds stranded",
        "moves");
    for (PlacementRun.Load load : PlacementRun.Load.values()) {
      for (PlacementPolicy policy :
          new PlacementPolicy[] {new GreedyPolicy(), new ScoredPolicy()}) {
        PlacementRun.Totals sum = new PlacementRun.Totals(0, 0, 0);
        for (long seed = 1; seed <= seeds; seed++) {
          sum = sum.plus(PlacementRun.run(policy, load, seed, minutes));
        }
        System.out.printf(
            Locale.ROOT,
            "%-16s %-8s %20.0f %25.0f %8d%n",
            load.label(),
            policy.name(),
            sum.downMillis() / 1_000.0,
            sum.strandedMillis() / 1_000.0,
            sum.moves());
      }
    }
  }

  private static void planningTimes() {
    System.out.println("planning time in milliseconds, median and maximum of the measured plans");
    System.out.printf(
        Locale.ROOT,
        "%9s %8s %22s %22s %22s %22s%n",
        "instances",
        "policy",
        "first placement",
        "nothing to do",
        "one member lost",
        "one domain lost");
    for (int size : SIZES) {
      for (PlacementPolicy policy :
          new PlacementPolicy[] {new GreedyPolicy(), new ScoredPolicy()}) {
        PlanningTime t = new PlanningTime(policy, size);
        System.out.printf(
            Locale.ROOT,
            "%9d %8s %22s %22s %22s %22s%n",
            size,
            policy.name(),
            t.firstPlacement(),
            t.nothingToDo(),
            t.memberLost(),
            t.domainLost());
      }
    }
  }
}
