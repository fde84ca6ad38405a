package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Orders targets by cost, lowest first. Ties are broken at random, so that different entries choose
 * different targets.
 */
final class Ranking {
  private record Scored(Target target, double cost, long tie) {}

  private Ranking() {}

  static List<Target> byCost(
      List<Target> targets, ToDoubleFunction<Target> cost, RandomGenerator random) {
    List<Scored> scored = new ArrayList<>(targets.size());
    for (Target t : targets) {
      scored.add(new Scored(t, cost.applyAsDouble(t), random.nextLong()));
    }
    scored.sort(Comparator.comparingDouble(Scored::cost).thenComparingLong(Scored::tie));
    List<Target> out = new ArrayList<>(scored.size());
    scored.forEach(s -> out.add(s.target()));
    return out;
  }
}
