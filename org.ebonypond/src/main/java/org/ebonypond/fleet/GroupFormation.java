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
 * Chooses the next group to form. Models whose groups are furthest below their share come first,
 * unless a group of another model can be ready much sooner; domains that the group fills best are
 * preferred.
 */
final class GroupFormation {
  /**
   * The value lost for each second until a group is ready, as a fraction of a model's full target.
   */
  private static final double READY_SECOND_COST = 0.04;

  /**
   * The value lost for each leftover instance in a domain, as a fraction of a model's full target.
   */
  private static final double LEFTOVER_COST = 0.01;

  /**
   * The value lost for each larger group that no longer fits, as a fraction of a model's full
   * target.
   */
  private static final double FRAGMENTATION_COST = 0.1;

  /**
   * The value lost for each group of the same model that this round has already formed in the same
   * zone, because the loss of that zone would cost more.
   */
  private static final double SAME_ZONE_COST = 0.015;

  /** The time to rejoin a group of a model that is still in memory, in milliseconds. */
  private static final long REJOIN_MILLIS = 200;

  /** Instances are reserved for a larger model whose shortfall is greater by more than this. */
  private static final double RESERVE_MARGIN = 0.3;

  /** Groups are retired for another model if that lowers the greatest shortfall by this much. */
  private static final double CONVERSION_MARGIN = 0.04;

  /**
   * A small group is retired to complete a large one if the sum of the shortfalls drops by this
   * much.
   */
  private static final double COMPLETION_MARGIN = 0.01;

  /** The fraction of busy slots above which a model needs more groups. */
  private static final double BUSY_FRACTION = 0.7;

  /**
   * The minimum weight of an underused model's shortfall, so that it keeps groups for the next
   * requests.
   */
  private static final double MIN_USAGE_WEIGHT = 0.25;

  private final EngineProfile engine;
  private final Map<String, Integer> counts;
  private final Map<String, Integer> active;
  private final boolean hasRequests;
  private final Map<String, Double> targets = new HashMap<>();
  private final Map<String, Integer> formedByZone = new HashMap<>();

  /**
   * Creates the group formation of one planning round.
   *
   * @param counts the number of groups of each model; updated by the caller
   * @param active the number of requests in flight at all groups of each model
   * @param usable the number of instances that can be in a group
   */
  GroupFormation(
      EngineProfile engine, Map<String, Integer> counts, Map<String, Integer> active, int usable) {
    this.engine = engine;
    this.counts = counts;
    this.active = active;
    this.hasRequests = active.values().stream().anyMatch(n -> n > 0);
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
   * @param mayLoad whether members may load from the weight store; otherwise instances are staged
   *     first, so that the other members of the group do not wait for them
   */
  @Nullable Choice best(Map<String, List<FleetInstance>> domains, boolean mayLoad) {
    Choice best = null;
    for (Map.Entry<String, List<FleetInstance>> e : domains.entrySet()) {
      for (ModelProfile m : engine.models()) {
        List<FleetInstance> free = available(m, e.getValue());
        if (free.size() >= m.groupSize()) {
          Choice c = choose(e.getKey(), free, m);
          if ((mayLoad || c.loads() == 0) && (best == null || c.value() > best.value())) {
            best = c;
          }
        }
      }
    }
    if (best != null) {
      formedByZone.merge(zoneKey(best.model(), best.members()), 1, Integer::sum);
    }
    return best;
  }

  /**
   * Returns the free instances except those reserved for a larger model with a much greater
   * shortfall. Instances are reserved only if the larger group lacks at most one warm member;
   * otherwise they serve a smaller model while the larger one is loaded.
   */
  private List<FleetInstance> available(ModelProfile m, List<FleetInstance> free) {
    double after = shortfall(m, 1);
    for (ModelProfile other : engine.models()) {
      long warm = free.stream().filter(i -> i.isWarmFor(other.name())).count();
      if (other.groupSize() > m.groupSize()
          && warm >= other.groupSize() - 1
          && shortfall(other, 0) - RESERVE_MARGIN > after) {
        return free.stream().filter(i -> !i.isWarmFor(other.name())).toList();
      }
    }
    return free;
  }

  /**
   * Returns whether groups of one model should be retired for another model with a much greater
   * shortfall.
   *
   * @param retired the number of groups of the first model that would be retired
   */
  boolean isWorthConverting(ModelProfile from, ModelProfile to, int retired) {
    if (counts.getOrDefault(from.name(), 0) <= retired) {
      // The last group is kept, so that an idle model can serve its next request.
      return false;
    }
    double after = Math.max(shortfall(to, 1), shortfall(from, -retired));
    return shortfall(to, 0) > after + CONVERSION_MARGIN;
  }

  /**
   * Returns whether one group of a larger model is worth more than two of a smaller one: the
   * existing group that would be retired, and another that the survivors of the larger group could
   * form.
   */
  boolean isWorthCompleting(ModelProfile large, ModelProfile small) {
    if (counts.getOrDefault(small.name(), 0) <= 1) {
      return false;
    }
    double before = weightedShortfall(large, 0) + weightedShortfall(small, 1);
    double after = weightedShortfall(large, 1) + weightedShortfall(small, -1);
    return before > after + COMPLETION_MARGIN;
  }

  /** Returns the shortfall of a model, weighted by its share of the requests. */
  private double weightedShortfall(ModelProfile m, int more) {
    return m.share() * Math.max(0, shortfall(m, more));
  }

  /** Returns whether the shortfall of a model is so great that loads for it take precedence. */
  boolean isSeverelyShort(String model) {
    ModelProfile m = engine.model(model);
    return m != null && shortfall(m, 0) > RESERVE_MARGIN;
  }

  /**
   * Returns the unmet fraction of a model's target; negative if it has a surplus.
   *
   * @param more the number of groups to add to the existing ones; may be negative
   */
  private double shortfall(ModelProfile m, int more) {
    int groups = counts.getOrDefault(m.name(), 0);
    double unmet = 1 - (groups + more) / targets.get(m.name());
    double slots = (double) engine.slots() * Math.max(1, groups + more);
    double busyFraction = active.getOrDefault(m.name(), 0) / slots;
    if (!hasRequests) {
      return unmet;
    }
    // Shares are only an expectation. The shortfall of an idle model counts less, and fully used
    // groups are no surplus, so that groups follow a burst.
    double utilization = Math.min(1, busyFraction / BUSY_FRACTION);
    double usageWeight = Math.max(MIN_USAGE_WEIGHT, utilization * utilization);
    return unmet * (unmet > 0 ? usageWeight : 1 - usageWeight)
        + Math.max(0, busyFraction - BUSY_FRACTION);
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
        shortfall(m, 0)
            - READY_SECOND_COST * ready / 1_000
            - LEFTOVER_COST * leftover
            - FRAGMENTATION_COST * largestGroupsDisplaced(free.size(), m)
            - SAME_ZONE_COST * formedByZone.getOrDefault(zoneKey(m, members), 0);
    return new Choice(domain, m, members, ready, loads, value);
  }

  /** Returns whether an instance is warm for a larger model, which would lose it. */
  private boolean isWarmForLarger(FleetInstance i, ModelProfile m) {
    return engine.models().stream()
        .anyMatch(other -> other.groupSize() > m.groupSize() && i.isWarmFor(other.name()));
  }

  /** Returns how many groups of the largest model no longer fit into the domain. */
  private int largestGroupsDisplaced(int free, ModelProfile m) {
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
   * @param loads the number of loads from the weight store that it needs
   * @param value the usefulness of the group; higher is better
   */
  record Choice(
      String domain,
      ModelProfile model,
      List<FleetInstance> members,
      long readyMillis,
      int loads,
      double value) {}
}
