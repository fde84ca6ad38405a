package org.ebonypond.fleet;

import java.util.List;
import java.util.Map;
import org.ebonypond.serving.EngineProfile;

/**
 * Forms, opens and repairs the groups of engines. It belongs to the control leader and derives what
 * it needs from the latest heartbeats, so that a new leader can take over at any point. Not
 * thread-safe; holds no thread, socket or clock.
 *
 * <p>A member may join another group only when the head of its group can no longer serve: the head
 * has reported so, has confirmed that it left the group, or has been without this member for as
 * long as a head takes to notice that.
 */
public final class FleetPlanner {
  /** Heartbeats of a later leader may be this late when it takes over, in milliseconds. */
  private static final long SETTLE_MILLIS = 500;

  /** An instance that left orders unanswered is passed over for this long, in milliseconds. */
  private static final long AVOID_MILLIS = 8_000;

  /** Orders that got no answer are repeated this often before the group is given up. */
  private static final int MAX_JOIN_TRIES = 3;

  private static final int EPOCH_BITS = 24;

  private final PlannerState state;
  private String summary = "";
  private int seenInstances;
  private long unchangedSince;

  /**
   * Creates a planner.
   *
   * @param silentMillis the silence after which an instance counts as lost, in milliseconds
   * @param quickSilentMillis the same for a member of a group that makes no progress
   * @param stallMillis the time after which a head notices that a member is missing
   * @param ceiling bounds the loads from the weight store
   */
  public FleetPlanner(
      long silentMillis, long quickSilentMillis, long stallMillis, LoadCeiling ceiling) {
    state = new PlannerState(silentMillis, quickSilentMillis, stallMillis, ceiling);
  }

  /**
   * Begins a leadership.
   *
   * @param newTerm the term, higher than those of earlier leaders
   * @param first whether no leader can have given orders before
   */
  public void startTerm(long newTerm, boolean first, double loadsPerSecond, long now) {
    state.term = newTerm;
    state.epochs = newTerm << EPOCH_BITS;
    state.leadsSince =
        first ? now - SETTLE_MILLIS - state.stallMillis - PlannerState.STALL_MARGIN_MILLIS : now;
    state.book.clear();
    state.planned.clear();
    state.quarantine.clear();
    state.left.clear();
    state.heads.clear();
    state.incompleteSince.clear();
    state.staging.clear();
    state.retiring.clear();
    state.avoid.clear();
    if (!first) {
      state.ceiling.assumeFull(state.ceiling.capacity(loadsPerSecond), now);
    }
  }

  /** Returns the state of the groups at the end of the last round, for the log. */
  public String summary() {
    return summary;
  }

  /** Returns the term of the leadership, or -1. */
  public long term() {
    return state.term;
  }

  /**
   * Decides the next orders for one service.
   *
   * @param all the records of all instances
   * @param loads the work under way at each head
   * @param service the name of the service
   * @param engine its engines
   * @param beforeTraffic whether no request has come yet; loads are quick and not counted then
   * @param now the time in milliseconds
   */
  public List<FleetOrder> plan(
      List<InstanceUpdate> all,
      Map<String, HeadLoad> loads,
      String service,
      EngineProfile engine,
      boolean beforeTraffic,
      long now) {
    if (now - state.leadsSince < SETTLE_MILLIS) {
      return List.of();
    }
    state.book.prune(now, PlannerState.KEEP_ORDERS_MILLIS);
    PlanningRound t = new PlanningRound(state, engine, loads, beforeTraffic, now);
    for (InstanceUpdate u : all) {
      if (u.instance().service().equals(service)) {
        t.add(u);
      }
    }
    state.incompleteSince.keySet().retainAll(t.groups.keySet());
    state.heads.keySet().retainAll(t.groups.keySet());
    state.retiring.keySet().retainAll(t.groups.keySet());
    t.reviewGroups();
    t.reviewPlans();
    if (!beforeTraffic || hasSettled(t.instances.size(), now)) {
      t.form();
      t.convert();
      new HostLoads(t).order();
    }
    summary = t.summarize();
    return t.orders;
  }

  /**
   * Returns whether all instances have probably announced themselves at the first start. Groups
   * that are formed of the first few would be of the smallest model.
   */
  private boolean hasSettled(int instances, long now) {
    if (instances != seenInstances) {
      seenInstances = instances;
      unchangedSince = now;
    }
    return now - unchangedSince >= state.quickSilentMillis;
  }

  /** Takes the outcome of an order. */
  public void answered(FleetOrder o, OrderOutcome outcome, long now) {
    state.book.answered(o, outcome, now);
    boolean done = outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS;
    boolean gone = outcome == OrderOutcome.CONFLICT || outcome == OrderOutcome.ABSENT;
    if (o.kind() == FleetOrder.Kind.LEAVE && (done || gone)) {
      state.left.put(o.instance(), GroupView.key(o.group(), o.epoch()));
    }
    if (o.kind() == FleetOrder.Kind.STAGE && !done) {
      // An order without an answer may be carried out much later, or never.
      state.staging.remove(o.instance());
    }
    if (outcome == OrderOutcome.ABSENT) {
      state.avoid.put(o.instance(), now + AVOID_MILLIS);
    }
    if (o.kind() == FleetOrder.Kind.JOIN && !done) {
      boolean again = outcome == OrderOutcome.UNKNOWN && state.book.tries(o) < MAX_JOIN_TRIES;
      if (!again) {
        state.planned.remove(GroupView.key(o.group(), o.epoch()));
        if (outcome == OrderOutcome.UNKNOWN) {
          state.avoid.put(o.instance(), now + AVOID_MILLIS);
        }
      }
    }
  }
}
