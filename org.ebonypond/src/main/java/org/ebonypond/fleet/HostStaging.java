package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.serving.ModelProfile;

/**
 * Stages on each host a model that its instance does not have in memory. The instance can then join
 * a group of either model within a second or two, whichever group is lost next.
 */
final class HostStaging {
  /** The maximum number of concurrent staging loads; more would slow down repairs. */
  private static final int MAX_STAGING = 6;

  /** The same, if the instance can already serve another model. */
  private static final int MAX_SECOND_STAGING = 3;

  /** A staging load that takes longer than this no longer counts as running, in milliseconds. */
  private static final long STAGING_TIMEOUT_MILLIS = 30_000;

  private final PlanningRound round;
  private final PlannerState state;

  HostStaging(PlanningRound round) {
    this.round = round;
    this.state = round.state;
  }

  /** Orders useful staging loads within the current capacity of the weight store. */
  void orderWeightLoads() {
    int running = 0;
    for (FleetInstance i : round.instances.values()) {
      running += isStaging(i) ? 1 : 0;
    }
    GroupFormation formation = round.formation();
    for (FleetInstance i : candidates()) {
      String model = modelFor(i);
      boolean wanted =
          !model.isEmpty()
              && i.phase() == InstancePhase.READY
              && !round.isLost(i)
              && !round.isJoining(i)
              && !i.staged().contains(model);
      int limit =
          hasNoModel(i) || formation.isSeverelyShort(model) ? MAX_STAGING : MAX_SECOND_STAGING;
      if (!wanted || (!round.beforeTraffic && running >= limit) || !hasSpareCapacity()) {
        continue;
      }
      FleetOrder o = stagingOrder(i, model);
      OrderOutcome latest = state.sentOrders.outcome(o);
      if (latest != OrderOutcome.ACCEPTED && latest != OrderOutcome.HOLDS && round.sendIfDue(o)) {
        running++;
        state.staging.put(i.id(), new PlannerState.Staging(model, i.startMillis(), round.now));
        if (!round.beforeTraffic) {
          state.loadLimiter.recordStarts(1, round.now);
        }
      }
    }
  }

  private boolean isStaging(FleetInstance i) {
    PlannerState.Staging s = state.staging.get(i.id());
    if (s == null) {
      return false;
    }
    boolean ended =
        i.staged().contains(s.model())
            || round.now - s.since() > STAGING_TIMEOUT_MILLIS
            || i.startMillis() != s.startMillis()
            || round.isLost(i);
    if (ended) {
      state.staging.remove(i.id());
    }
    return !ended;
  }

  private static boolean hasNoModel(FleetInstance i) {
    return i.lastModel().isEmpty() && i.staged().isEmpty();
  }

  private FleetOrder stagingOrder(FleetInstance i, String model) {
    return new FleetOrder(
        FleetOrder.Kind.STAGE, i.id(), i.address(), "", 0, model, List.of(), state.term);
  }

  /** Repairs take precedence over staging, so half of the window is reserved for them. */
  private boolean hasSpareCapacity() {
    double rate = round.engine.loadsPerSecond();
    return round.beforeTraffic
        || state.loadLimiter.available(rate, round.now) > state.loadLimiter.capacity(rate) / 2;
  }

  /**
   * Returns the model to stage, or an empty string: for an instance without any model, the model
   * with the fewest instances relative to its share; otherwise the largest one that it does not
   * have in memory.
   */
  private String modelFor(FleetInstance i) {
    if (i.lastModel().isEmpty() && i.models().isEmpty()) {
      return i.staged().isEmpty() ? mostUnderserved() : i.staged().get(0);
    }
    String model = "";
    int size = 0;
    for (ModelProfile m : round.engine.models()) {
      if (m.groupSize() > size && !i.hasInMemory(m.name())) {
        size = m.groupSize();
        model = m.name();
      }
    }
    return model;
  }

  /**
   * Returns the model with the fewest instances relative to its share, including instances whose
   * hosts have staged it or are loading it.
   */
  private String mostUnderserved() {
    Map<String, Integer> instancesOf = new HashMap<>();
    for (FleetInstance i : round.instances.values()) {
      String model = !i.lastModel().isEmpty() ? i.lastModel() : firstOf(i.staged());
      instancesOf.merge(model, 1, Integer::sum);
    }
    state.staging.values().forEach(s -> instancesOf.merge(s.model(), 1, Integer::sum));
    String worst = "";
    double least = Double.MAX_VALUE;
    for (ModelProfile m : round.engine.models()) {
      double served = instancesOf.getOrDefault(m.name(), 0) / Math.max(0.01, m.share());
      if (served < least) {
        least = served;
        worst = m.name();
      }
    }
    return worst;
  }

  private static String firstOf(List<String> models) {
    return models.isEmpty() ? "" : models.get(0);
  }

  /**
   * Returns the instances in the order in which they are considered: free instances before those
   * that serve, then those with fewer attempts of the order, with more free warm instances in the
   * domain, and without any model.
   */
  private List<FleetInstance> candidates() {
    Map<String, List<FleetInstance>> free = round.freeByDomain();
    List<Rank> ranks = new ArrayList<>();
    for (FleetInstance i : round.instances.values()) {
      String model = modelFor(i);
      ranks.add(
          new Rank(
              i,
              round.isFree(i) ? 0 : 1,
              state.sentOrders.attempts(stagingOrder(i, model)),
              -countWarm(free.getOrDefault(round.domainOf(i), List.of()), model),
              hasNoModel(i) ? 0 : 1));
    }
    ranks.sort(
        Comparator.comparingInt(Rank::serving)
            .thenComparingInt(Rank::attempts)
            .thenComparingLong(Rank::negatedWarm)
            .thenComparingInt(Rank::modelPresent));
    return ranks.stream().map(Rank::instance).toList();
  }

  private static long countWarm(List<FleetInstance> free, String model) {
    return free.stream().filter(o -> !model.isEmpty() && o.isWarmFor(model)).count();
  }

  /**
   * The sort key of an instance; lower values come first.
   *
   * @param serving 0 if the instance is free, otherwise 1
   * @param attempts how often the order was sent
   * @param negatedWarm the number of free instances of the domain that are warm for the model,
   *     negated
   * @param modelPresent 0 if the instance has no model yet, otherwise 1
   */
  private record Rank(
      FleetInstance instance, int serving, int attempts, long negatedWarm, int modelPresent) {}
}
