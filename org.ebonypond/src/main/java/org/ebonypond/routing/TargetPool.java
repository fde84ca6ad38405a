package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The targets of one model or service and the stable subset that an entry prefers; immutable.
 *
 * @param all every target that serves
 * @param subset the preferred targets; all of them when there are few
 * @param rest the targets outside of the subset
 */
record TargetPool(List<Target> all, List<Target> subset, List<Target> rest) {
  private record Ranked(Target target, long rank) {}

  /**
   * Selects the subset by rendezvous hashing: each target has a fixed rank at this entry, so that
   * the removal or return of a target changes at most one target in each half of the subset. One
   * half is taken from the entry's own availability zone, as far as it has enough targets.
   */
  static TargetPool of(List<Target> all, RouterSettings s) {
    if (all.size() <= s.subsetSize()) {
      return new TargetPool(all, all, List.of());
    }
    List<Ranked> ranked = new ArrayList<>(all.size());
    for (Target t : all) {
      ranked.add(new Ranked(t, rank(s.node(), t.key())));
    }
    ranked.sort(Comparator.comparingLong(Ranked::rank).thenComparing(r -> r.target().key()));
    List<Target> subset = new ArrayList<>(s.subsetSize());
    for (Ranked r : ranked) {
      if (subset.size() < s.subsetSize() / 2 && r.target().zone().equals(s.zone())) {
        subset.add(r.target());
      }
    }
    Set<Target> chosen = new HashSet<>(subset);
    List<Target> rest = new ArrayList<>();
    for (Ranked r : ranked) {
      if (chosen.contains(r.target())) {
        continue;
      }
      if (subset.size() < s.subsetSize()) {
        subset.add(r.target());
      } else {
        rest.add(r.target());
      }
    }
    return new TargetPool(all, List.copyOf(subset), List.copyOf(rest));
  }

  private static long rank(String node, String key) {
    long seed = ((long) node.hashCode() << 32) ^ (key.hashCode() & 0xffffffffL);
    return new SplittableRandom(seed).nextLong();
  }
}
