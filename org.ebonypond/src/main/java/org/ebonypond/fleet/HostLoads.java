package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.serving.ModelProfile;

/**
 * Loads onto each host a model that its instance does not have in memory. An instance can then
 * change to a group of either model within a second or two, whatever group is lost next.
 */
final class HostLoads {
  /** Loads for later use that run at once; more would slow down repairs. */
  private static final int MAX_LOADS = 6;

  /** The same, for instances that can serve one model already. */
  private static final int MAX_SECOND_LOADS = 3;

  /** A load for later use that takes longer than this is not waited for, in milliseconds. */
  private static final long LOAD_MILLIS = 30_000;

  private final PlanningRound round;
  private final PlannerState state;

  HostLoads(PlanningRound round) {
    this.round = round;
    this.state = round.state;
  }

  /** Orders the loads that are useful and that the weight store can bear now. */
  void order() {
    int running = 0;
    for (FleetInstance i : round.instances.values()) {
      running += isLoading(i) ? 1 : 0;
    }
    GroupFormation f = round.formation();
    for (FleetInstance i : inOrder()) {
      String model = modelFor(i);
      boolean wanted =
          !model.isEmpty()
              && i.phase() == InstancePhase.READY
              && !round.isLost(i)
              && !round.isJoining(i)
              && !i.staged().contains(model);
      int most = canServeNothing(i) || f.isBadlyServed(model) ? MAX_LOADS : MAX_SECOND_LOADS;
      if (!wanted || (!round.beforeTraffic && running >= most) || !hasLoadsToSpare()) {
        continue;
      }
      FleetOrder o = orderTo(i, model);
      OrderOutcome done = state.book.outcome(o);
      if (done != OrderOutcome.ACCEPTED && done != OrderOutcome.HOLDS && round.send(o)) {
        running++;
        state.staging.put(i.id(), new PlannerState.Staging(model, i.startMillis(), round.now));
        if (!round.beforeTraffic) {
          state.ceiling.take(1, round.now);
        }
      }
    }
  }

  private boolean isLoading(FleetInstance i) {
    PlannerState.Staging s = state.staging.get(i.id());
    if (s == null) {
      return false;
    }
    boolean over =
        i.staged().contains(s.model())
            || round.now - s.since() > LOAD_MILLIS
            || i.startMillis() != s.startMillis()
            || round.isLost(i);
    if (over) {
      state.staging.remove(i.id());
    }
    return !over;
  }

  private static boolean canServeNothing(FleetInstance i) {
    return i.lastModel().isEmpty() && i.staged().isEmpty();
  }

  private FleetOrder orderTo(FleetInstance i, String model) {
    return new FleetOrder(
        FleetOrder.Kind.STAGE, i.id(), i.address(), "", 0, model, List.of(), state.term);
  }

  /** Repairs go before loads for later use, so half of the window is kept for them. */
  private boolean hasLoadsToSpare() {
    double rate = round.engine.loadsPerSecond();
    return round.beforeTraffic
        || state.ceiling.available(rate, round.now) > state.ceiling.capacity(rate) / 2;
  }

  /**
   * Returns the model to load, or an empty string: for an instance that can serve nothing yet, the
   * one that is worst served; otherwise the largest one that it does not have in memory.
   */
  private String modelFor(FleetInstance i) {
    if (i.lastModel().isEmpty() && i.models().isEmpty()) {
      return i.staged().isEmpty() ? worstServed() : i.staged().get(0);
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

  /** Returns the model that lacks most instances, counting those whose hosts have or load it. */
  private String worstServed() {
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
   * Free instances go before those that serve; among them, those that have not left such an order
   * unanswered, those that a group is closest to need, and those that can serve nothing yet.
   */
  private List<FleetInstance> inOrder() {
    Map<String, List<FleetInstance>> free = round.freeByDomain();
    List<Rank> ranks = new ArrayList<>();
    for (FleetInstance i : round.instances.values()) {
      String model = modelFor(i);
      ranks.add(
          new Rank(
              i,
              round.isFree(i) ? 0 : 1,
              state.book.tries(orderTo(i, model)),
              -warm(free.getOrDefault(round.domainOf(i), List.of()), model),
              canServeNothing(i) ? 0 : 1));
    }
    ranks.sort(
        Comparator.comparingInt(Rank::serving)
            .thenComparingInt(Rank::tries)
            .thenComparingLong(Rank::negatedWarm)
            .thenComparingInt(Rank::able));
    return ranks.stream().map(Rank::instance).toList();
  }

  private static long warm(List<FleetInstance> free, String model) {
    return free.stream().filter(o -> !model.isEmpty() && o.isWarmFor(model)).count();
  }

  /**
   * What decides in which order hosts load; lower goes first.
   *
   * @param serving 0 if the instance is free
   * @param tries how often the order was given
   * @param negatedWarm the free instances of the domain that have the model, negated
   * @param able 0 if the instance can serve nothing yet
   */
  private record Rank(FleetInstance instance, int serving, int tries, long negatedWarm, int able) {}
}
