package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the next group to form. A model whose groups fall short of its share goes first, unless
 * another one can be ready much sooner; domains that the group fills best go before others.
 */
final class GroupFormation {
  /** A group that is ready a second later is worth this part of a model's whole need less. */
  private static final double SECOND_COST = 0.04;

  /** An instance that stays over in a domain costs this part of a model's whole need. */
  private static final double LEFTOVER_COST = 0.01;

  /** A group that takes the room of a larger one costs this part of a model's whole need. */
  private static final double FRAGMENT_COST = 0.1;

  /** Each group of the same model in the same zone makes the zone's loss worse. */
  private static final double SAME_ZONE_COST = 0.015;

  /** The time to join a group of the same model as before, in milliseconds. */
  private static final long REJOIN_MILLIS = 200;

  /** A group is not formed for a model that is this much better served than a larger one. */
  private static final double RESERVE_MARGIN = 0.3;

  /** Groups are dissolved for another model if that lowers the greatest need by this much. */
  private static final double CONVERSION_MARGIN = 0.04;

  /**
   * A small group is dissolved to complete a large one if the sum of what is missing falls by this.
   */
  private static final double COMPLETION_MARGIN = 0.01;

  /** Groups that are busier than this part of their slots count as a need for more. */
  private static final double BUSY_PART = 0.7;

  /** A model with little load keeps this part of its claim to groups, for the next requests. */
  private static final double LEAST_USE = 0.25;

  private final EngineProfile engine;
  private final Map<String, Integer> counts;
  private final Map<String, Integer> active;
  private final boolean hasLoad;
  private final Map<String, Double> targets = new HashMap<>();
  private final Map<String, Integer> byZone = new HashMap<>();

  /**
   * Creates a choice for one planning round.
   *
   * @param counts the groups of each model, which the caller keeps up to date
   * @param active the requests in flight at all groups of each model
   * @param usable the number of instances that can be in a group
   */
  GroupFormation(
      EngineProfile engine, Map<String, Integer> counts, Map<String, Integer> active, int usable) {
    this.engine = engine;
    this.counts = counts;
    this.active = active;
    this.hasLoad = active.values().stream().anyMatch(n -> n > 0);
    double shares = engine.models().stream().mapToDouble(ModelProfile::share).sum();
    for (ModelProfile m : engine.models()) {
      double share = shares > 0 ? m.share() / shares : 1.0 / engine.models().size();
      targets.put(m.name(), Math.max(1, usable * share / m.groupSize()));
    }
  }

  /**
   * Returns the best group that can be formed, or null.
   *
   * @param domains the free instances by fabric domain
   * @param cold whether members may load from the weight store; otherwise they are staged first, so
   *     that they do not keep the others of the group waiting
   */
  @Nullable Choice best(Map<String, List<FleetInstance>> domains, boolean cold) {
    Choice best = null;
    for (Map.Entry<String, List<FleetInstance>> e : domains.entrySet()) {
      for (ModelProfile m : engine.models()) {
        List<FleetInstance> free = available(m, e.getValue());
        if (free.size() >= m.groupSize()) {
          Choice c = choose(e.getKey(), free, m);
          if ((cold || c.loads() == 0) && (best == null || c.value() > best.value())) {
            best = c;
          }
        }
      }
    }
    if (best != null) {
      byZone.merge(zoneKey(best.model(), best.members()), 1, Integer::sum);
    }
    return best;
  }

  /**
   * Returns the free instances without those that are kept for a larger model that is much worse
   * served. That is useful only if a group of it is close: instances that have to load it first
   * serve meanwhile.
   */
  private List<FleetInstance> available(ModelProfile m, List<FleetInstance> free) {
    double after = need(m, 1);
    for (ModelProfile o : engine.models()) {
      long warm = free.stream().filter(i -> i.isWarmFor(o.name())).count();
      if (o.groupSize() > m.groupSize()
          && warm >= o.groupSize() - 1
          && need(o, 0) - RESERVE_MARGIN > after) {
        return free.stream().filter(i -> !i.isWarmFor(o.name())).toList();
      }
    }
    return free;
  }

  /**
   * Returns whether a model is so much worse served than another one that a group of the other is
   * dissolved for it.
   *
   * @param lost the groups of the other model that would be dissolved
   */
  boolean isWorthConverting(ModelProfile from, ModelProfile to, int lost) {
    if (counts.getOrDefault(from.name(), 0) <= lost) {
      // The last group stays, for the next request of a model that nobody uses now.
      return false;
    }
    double after = Math.max(need(to, 1), need(from, -lost));
    return need(to, 0) > after + CONVERSION_MARGIN;
  }

  /**
   * Returns whether a group of a larger model is worth more than one of a smaller one beside it,
   * and than another one that the survivors of the larger one could form.
   */
  boolean isWorthCompleting(ModelProfile large, ModelProfile small) {
    if (counts.getOrDefault(small.name(), 0) <= 1) {
      return false;
    }
    double before = missing(large, 0) + missing(small, 1);
    double after = missing(large, 1) + missing(small, -1);
    return before > after + COMPLETION_MARGIN;
  }

  /** Returns what a model lacks, weighed by its share of the requests. */
  private double missing(ModelProfile m, int more) {
    return m.share() * Math.max(0, need(m, more));
  }

  /** Returns whether a model is so badly served that loads for it go before others. */
  boolean isBadlyServed(String model) {
    ModelProfile m = engine.model(model);
    return m != null && need(m, 0) > RESERVE_MARGIN;
  }

  /**
   * Returns the part of a model's whole need that is not met.
   *
   * @param more groups that are added to those there are
   */
  private double need(ModelProfile m, int more) {
    int groups = counts.getOrDefault(m.name(), 0);
    double missing = 1 - (groups + more) / targets.get(m.name());
    double slots = (double) engine.slots() * Math.max(1, groups + more);
    double busy = active.getOrDefault(m.name(), 0) / slots;
    if (!hasLoad) {
      return missing;
    }
    // Shares are an expectation. What a model hardly uses counts for much less, and what it uses in
    // full is no surplus, so that groups follow a burst.
    double part = Math.min(1, busy / BUSY_PART);
    double used = Math.max(LEAST_USE, part * part);
    return missing * (missing > 0 ? used : 1 - used) + Math.max(0, busy - BUSY_PART);
  }

  private Choice choose(String domain, List<FleetInstance> free, ModelProfile m) {
    List<FleetInstance> members = new ArrayList<>(free);
    members.sort(
        Comparator.comparingLong((FleetInstance i) -> readyMillis(i, m))
            .thenComparing(i -> isWarmForLarger(i, m))
            .thenComparing(FleetInstance::id));
    members = List.copyOf(members.subList(0, m.groupSize()));
    long ready = members.stream().mapToLong(i -> readyMillis(i, m)).max().orElse(0);
    int loads = (int) members.stream().filter(i -> !i.isWarmFor(m.name())).count();
    int leftover = (free.size() - m.groupSize()) % smallestGroup();
    double value =
        need(m, 0)
            - SECOND_COST * ready / 1_000
            - LEFTOVER_COST * leftover
            - FRAGMENT_COST * roomTaken(free.size(), m)
            - SAME_ZONE_COST * byZone.getOrDefault(zoneKey(m, members), 0);
    return new Choice(domain, m, members, ready, loads, value);
  }

  /** Returns whether an instance would be missed by a larger model. */
  private boolean isWarmForLarger(FleetInstance i, ModelProfile m) {
    return engine.models().stream()
        .anyMatch(o -> o.groupSize() > m.groupSize() && i.isWarmFor(o.name()));
  }

  /** Returns how many groups of the largest model fewer fit beside a group of another one. */
  private int roomTaken(int free, ModelProfile m) {
    int largest = engine.models().stream().mapToInt(ModelProfile::groupSize).max().orElse(1);
    return m.groupSize() == largest ? 0 : free / largest - (free - m.groupSize()) / largest;
  }

  private int smallestGroup() {
    return engine.models().stream().mapToInt(ModelProfile::groupSize).min().orElse(1);
  }

  private static String zoneKey(ModelProfile m, List<FleetInstance> members) {
    return m.name() + "/" + members.get(0).zone();
  }

  private static long readyMillis(FleetInstance i, ModelProfile m) {
    if (i.hasInMemory(m.name())) {
      return REJOIN_MILLIS;
    }
    return i.staged().contains(m.name()) ? m.warmMillis() : m.loadMillis();
  }

  /**
   * A group that can be formed.
   *
   * @param domain the fabric domain
   * @param model the model
   * @param members the members, head first
   * @param readyMillis the expected time until it is ready, in milliseconds
   * @param loads the loads from the weight store that it needs
   * @param value how useful it is; higher is better
   */
  record Choice(
      String domain,
      ModelProfile model,
      List<FleetInstance> members,
      long readyMillis,
      int loads,
      double value) {}
}
