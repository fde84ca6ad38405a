package org.ebonypond.fleet;

import java.util.List;
import java.util.Map;
import org.ebonypond.serving.EngineProfile;

/**
 * Forms, opens and repairs the groups of engines. Runs on the control leader and derives its input
 * from the latest heartbeats, so that a new leader can take over at any point. Not thread-safe;
 * uses no threads, sockets or clocks.
 *
 * <p>A member may join another group only once the head of its old group can no longer serve: the
 * head reported so, confirmed that it left the group, or has been without this member for at least
 * the time after which a head detects a missing member. That time starts anew with each report of
 * the head that it serves, and when an unanswered order to open the group may be executed. A head
 * that has left is not believed while unanswered orders may make it join and open the group again.
 */
public final class FleetPlanner {
  /** How long a new leader waits for heartbeats to arrive before it plans, in milliseconds. */
  private static final long SETTLE_MILLIS = 500;

  /**
   * How long an instance that did not answer orders is not used for new groups, in milliseconds.
   */
  private static final long AVOID_MILLIS = 8_000;

  /** The number of unanswered join orders after which the group is abandoned. */
  private static final int MAX_JOIN_ATTEMPTS = 3;

  private final PlannerState state;
  private String summary = "";
  private int instanceCount;
  private long countStableSince;

  /**
   * Creates a planner.
   *
   * @param silentMillis the time without a heartbeat after which an instance counts as lost, in
   *     milliseconds
   * @param quickSilentMillis the same for a member of a group without progress
   * @param stallMillis the time after which a head detects a missing member, in milliseconds
   * @param loadLimiter limits the loads from the weight store
   */
  public FleetPlanner(
      long silentMillis, long quickSilentMillis, long stallMillis, WeightLoadLimiter loadLimiter) {
    state = new PlannerState(silentMillis, quickSilentMillis, stallMillis, loadLimiter);
  }

  /**
   * Starts a term as the leader and discards the state of earlier terms.
   *
   * @param newTerm the term, higher than those of earlier leaders
   * @param first whether no earlier leader can have sent orders
   * @param loadsPerSecond the maximum rate of loads from the weight store, over all instances
   * @param now the time in milliseconds
   */
  public void startTerm(long newTerm, boolean first, double loadsPerSecond, long now) {
    state.term = newTerm;
    state.first = first;
    state.highestEpoch = newTerm << PlannerState.EPOCH_BITS;
    state.termStart =
        first ? now - SETTLE_MILLIS - state.stallMillis - PlannerState.STALL_MARGIN_MILLIS : now;
    state.sentOrders.clear();
    state.planned.clear();
    state.lastGroups.clear();
    state.confirmedLeft.clear();
    state.closedAt.clear();
    state.fencedSince.clear();
    state.decisions.startTerm();
    state.heads.clear();
    state.incompleteSince.clear();
    state.progressAt.clear();
    state.staging.clear();
    state.retiring.clear();
    state.avoidUntil.clear();
    if (!first) {
      state.loadLimiter.assumeFull(state.loadLimiter.capacity(loadsPerSecond), now);
    }
  }

  /** Returns a summary of the groups after the last round, for the log. */
  public String summary() {
    return summary;
  }

  /** Returns the decisions of the last round that its orders do not explain, for the log. */
  public List<GroupDecision> decisions() {
    return state.decisions.latest();
  }

  /** Returns the term of the current leadership, or -1 before the first. */
  public long term() {
    return state.term;
  }

  /**
   * Runs one planning round for a service and returns the orders to send.
   *
   * @param all the records of all instances
   * @param loads the load of each head
   * @param service the name of the service
   * @param engine the profile of its engines
   * @param beforeTraffic whether no request has arrived yet; until then, loads are fast and not
   *     limited
   * @param now the time in milliseconds
   */
  public List<FleetOrder> plan(
      List<InstanceUpdate> all,
      Map<String, InstanceLoad> loads,
      String service,
      EngineProfile engine,
      boolean beforeTraffic,
      long now) {
    state.decisions.clear();
    if (now - state.termStart < SETTLE_MILLIS) {
      return List.of();
    }
    state.sentOrders.prune(now, PlannerState.KEEP_ORDERS_MILLIS);
    PlanningRound round = new PlanningRound(state, engine, loads, beforeTraffic, now);
    for (InstanceUpdate u : all) {
      if (u.instance().service().equals(service)) {
        round.add(u);
      }
    }
    round.recordLastGroups();
    state.decisions.observe(round);
    state.incompleteSince.keySet().retainAll(round.groups.keySet());
    state.progressAt.keySet().retainAll(round.groups.keySet());
    state.heads.keySet().retainAll(round.groups.keySet());
    state.retiring.keySet().retainAll(round.groups.keySet());
    state.closedAt.keySet().retainAll(round.groups.keySet());
    state.fencedSince.keySet().retainAll(round.instances.keySet());
    round.reviewGroups();
    round.reviewPlans();
    if (!beforeTraffic || hasSettled(round.instances.size(), now)) {
      round.form();
      round.convert();
      new HostStaging(round).orderWeightLoads();
    }
    summary = round.summarize();
    return round.orders;
  }

  /**
   * Returns whether all instances have probably registered at the first start: their number has not
   * changed for a while. Groups formed from only the first few would all be of the smallest model.
   */
  private boolean hasSettled(int instances, long now) {
    if (instances != instanceCount) {
      instanceCount = instances;
      countStableSince = now;
    }
    return now - countStableSince >= state.quickSilentMillis;
  }

  /** Records the outcome of an order. */
  public void answered(FleetOrder order, OrderOutcome outcome, long now) {
    state.sentOrders.answered(order, outcome, now);
    boolean done = outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS;
    String key = GroupView.key(order.group(), order.epoch());
    long sentAt = state.sentOrders.answeredAttemptAt(order, now);
    if (done) {
      state.fencedSince.putIfAbsent(order.instance(), sentAt);
    }
    // Any other answer says nothing of the group: an instance that serves may refuse connections.
    if (order.kind() == FleetOrder.Kind.LEAVE && done) {
      state.confirmedLeft.put(order.instance(), new PlannerState.LeaveAnswer(key, outcome, now));
      state.lastGroups.confirmLeft(order.instance(), order.group(), order.epoch(), sentAt, now);
    }
    boolean closes = order.kind() == FleetOrder.Kind.CLOSE || order.kind() == FleetOrder.Kind.CUT;
    if (closes && outcome == OrderOutcome.HOLDS) {
      state.closedAt.put(key, sentAt);
    }
    if (order.kind() == FleetOrder.Kind.STAGE && !done) {
      // An unanswered order may be executed much later, or never.
      state.staging.remove(order.instance());
    }
    boolean absent = outcome == OrderOutcome.MISDIRECTED || outcome == OrderOutcome.REFUSED;
    if (absent && order.kind() != FleetOrder.Kind.LEAVE) {
      state.avoidUntil.put(order.instance(), now + AVOID_MILLIS);
    }
    if (order.kind() == FleetOrder.Kind.JOIN && !done) {
      boolean retry =
          outcome == OrderOutcome.UNKNOWN && state.sentOrders.attempts(order) < MAX_JOIN_ATTEMPTS;
      if (!retry) {
        state.planned.remove(GroupView.key(order.group(), order.epoch()));
        if (outcome == OrderOutcome.UNKNOWN) {
          state.avoidUntil.put(order.instance(), now + AVOID_MILLIS);
        }
      }
    }
  }
}
