package org.ebonypond.junit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.GroupPlanner;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.InstanceDetector;
import org.ebonypond.group.ObservationTable;
import org.ebonypond.group.OrderScheduler;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.Proposal;
import org.ebonypond.group.SchedulerOutput;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.group.StrandedInstances;
import org.ebonypond.trace.MissingGroups;
import org.ebonypond.trace.TraceRecord;
import org.ebonypond.trace.TraceRecord.CommandCommitted;
import org.ebonypond.trace.TraceRecord.EngineStateRead;
import org.ebonypond.trace.TraceRecord.OrderAccepted;
import org.ebonypond.trace.TraceRecord.OrderFailed;
import org.ebonypond.trace.TraceRecord.ProposalResolved;
import org.ebonypond.trace.TraceRecord.TermStarted;
import org.ebonypond.trace.TraceRecord.Tick;
import org.ebonypond.trace.TraceRecorder;

/**
 * Runs the decision classes of the control leader against fake engines on manual time, as the
 * daemon does. Commands, orders and reads take effect one tick after they were sent.
 */
public final class ControlLoop {
  /** The duration of a tick in milliseconds. */
  public static final long TICK_MILLIS = 100;

  private static final long ANNOUNCE_MILLIS = 500;
  private static final long LEASE_MILLIS = 1_000;

  private final FakeEngineFleet fleet;
  private final PlacementPolicy policy;
  private final PlannerSettings plannerSettings;
  private final EventSink events;
  private final Random random;
  private final Deque<ControlCommand> proposed = new ArrayDeque<>();
  private final List<ControlCommand> log = new ArrayList<>();
  private final ObservationTable observations = new ObservationTable();
  private final List<DelayedOrder> delayedOrders = new ArrayList<>();
  private final ControlState state;
  private SchedulerSettings schedulerSettings;
  private InstanceDetector detector = new InstanceDetector();
  private GroupPlanner planner;
  private OrderScheduler scheduler;
  private SchedulerOutput pendingOutput = SchedulerOutput.NONE;
  private int lossPercent;
  private boolean frozen;
  private long now;
  private long index;
  private long downMillis;
  private long strandedMillis;
  private long moves;
  private long term = 1;
  private long leaseMillis = LEASE_MILLIS;
  private final List<Proposal> proposals = new ArrayList<>();
  private TraceRecorder trace = new TraceRecorder(r -> {});

  private record DelayedOrder(long at, SchedulerOutput.OrderToSend order) {}

  /**
   * Creates a loop whose leader was just elected.
   *
   * @param fleet the engines
   * @param policy the placement policy
   * @param plannerSettings the settings of the planner
   * @param schedulerSettings the settings of the order scheduler
   * @param seed the seed of message loss
   * @param events receives the events of all components
   */
  public ControlLoop(
      FakeEngineFleet fleet,
      PlacementPolicy policy,
      PlannerSettings plannerSettings,
      SchedulerSettings schedulerSettings,
      long seed,
      EventSink events) {
    this.fleet = fleet;
    this.policy = policy;
    this.plannerSettings = plannerSettings;
    this.schedulerSettings = schedulerSettings;
    this.events = events;
    this.random = new Random(seed);
    this.state = new ControlState(events);
    this.planner = new GroupPlanner(policy, plannerSettings, events);
    this.scheduler = new OrderScheduler(schedulerSettings, events);
    elect(schedulerSettings);
  }

  /** Elects a new leader; the last messages of the old one still arrive. */
  public void elect(SchedulerSettings settings) {
    schedulerSettings = settings;
    detector = new InstanceDetector();
    detector.elected(now);
    planner = new GroupPlanner(policy, plannerSettings, events);
    planner.elected();
    scheduler = new OrderScheduler(schedulerSettings, events);
    scheduler.elected(now);
    observations.clear();
    frozen = false;
    leaseMillis = LEASE_MILLIS;
    term++;
    trace.record(new TermStarted(now, term, 1));
  }

  /** Records the leader's inputs from now on; call before the first step. */
  public void recordTo(Consumer<TraceRecord> out) {
    trace = new TraceRecorder(out);
    trace.record(new TermStarted(now, term, 1));
  }

  /** Ends the lease of the leader, which keeps running until the next election. */
  public void endLease() {
    leaseMillis = 0;
  }

  /** Returns every proposal that the leaders made, in order. */
  public List<Proposal> proposals() {
    return List.copyOf(proposals);
  }

  /** Returns whether a command was proposed and is not applied yet. */
  public boolean isProposed(ControlCommand c) {
    return proposed.contains(c);
  }

  /** Freezes or resumes the leader, which keeps its state; an election also ends the freeze. */
  public void setFrozen(boolean value) {
    frozen = value;
  }

  /** Sets the percentage of proposals, orders and answers that are lost. */
  public void setLossPercent(int percent) {
    lossPercent = percent;
  }

  /** Delivers an order of an earlier leader after a delay. */
  public void deliverLate(SchedulerOutput.OrderToSend order, long delayMillis) {
    delayedOrders.add(new DelayedOrder(now + delayMillis, order));
  }

  /** Delivers, after a delay, an order of an earlier leader that loads a group's first member. */
  public void deliverLateLoad(GroupRecord group, long delayMillis) {
    String instance = group.members().get(0).instance();
    EngineOrder order =
        new EngineOrder(
            group.epoch(),
            EngineOrder.Type.LOAD,
            group.model(),
            group.version(),
            group.adapters(),
            group.group(),
            0,
            List.of());
    deliverLate(
        new SchedulerOutput.OrderToSend(1, instance, instance + ":9000", order), delayMillis);
  }

  /** Commits and applies a command immediately. */
  public ControlResult apply(ControlCommand c) {
    log.add(c);
    index++;
    trace.record(new CommandCommitted(now, index, c));
    ControlResult result = state.apply(index, c);
    if (result instanceof ControlResult.Accepted) {
      moves += c instanceof ControlCommand.FormGroup f ? f.members().size() : 0;
      moves += c instanceof ControlCommand.ReplaceMember ? 1 : 0;
    }
    return result;
  }

  /** Advances the time by a number of milliseconds. */
  public void run(long millis) {
    for (long end = now + millis; now < end; ) {
      step();
    }
  }

  private void step() {
    now += TICK_MILLIS;
    if (!frozen) {
      sendReadsAndOrders();
    }
    while (!proposed.isEmpty()) {
      ControlCommand c = proposed.remove();
      if (!isLost()) {
        apply(c);
        resolved(c);
      }
    }
    delayedOrders.removeIf(this::deliver);
    if (!frozen) {
      runLeader();
    }
    accumulateTotals();
  }

  private boolean deliver(DelayedOrder d) {
    if (d.at() > now) {
      return false;
    }
    fleet.get(d.order().instance()).order(d.order().order(), now);
    return true;
  }

  private void resolved(ControlCommand c) {
    trace.record(new ProposalResolved(now, c));
    detector.resolved(c);
    planner.resolved(c);
    scheduler.resolved(c);
  }

  private void runLeader() {
    if (now % ANNOUNCE_MILLIS == 0) {
      fleet.announcements(now).forEach(this::announced);
    }
    trace.record(new Tick(now, now + leaseMillis));
    List<Proposal> out = new ArrayList<>(detector.tick(view(), now));
    out.addAll(planner.plan(view(), observations.view(), now));
    pendingOutput = scheduler.poll(view(), now, now + leaseMillis);
    out.addAll(pendingOutput.proposals());
    proposals.addAll(out);
    out.forEach(p -> proposed.add(p.command()));
  }

  private void announced(InstanceAnnouncement a) {
    trace.announced(a, now, now);
    detector.announced(a, now);
    scheduler.announced(a);
    observations.announced(a, view(), now);
  }

  private void sendReadsAndOrders() {
    for (SchedulerOutput.StateRead r : pendingOutput.reads()) {
      FakeEngine e = fleet.get(r.instance());
      if (!fleet.isReachable(e)) {
        failed(r.token(), r.instance());
      } else if (!isLost()) {
        trace.record(new EngineStateRead(now, r.token(), e.state(now)));
        scheduler.stateRead(r.token(), e.state(now), now);
      }
    }
    for (SchedulerOutput.OrderToSend o : pendingOutput.orders()) {
      FakeEngine e = fleet.get(o.instance());
      if (!fleet.isReachable(e)) {
        failed(o.token(), o.instance());
      } else if (!isLost()) {
        deliverAnswer(o, e.order(o.order(), now));
      }
    }
    pendingOutput = SchedulerOutput.NONE;
  }

  private void deliverAnswer(SchedulerOutput.OrderToSend o, boolean accepted) {
    if (isLost()) {
      return;
    }
    if (accepted) {
      trace.record(new OrderAccepted(now, o.token(), o.instance()));
      scheduler.orderAccepted(o.token(), now);
    } else {
      failed(o.token(), o.instance());
    }
  }

  private void failed(long token, String instance) {
    trace.record(new OrderFailed(now, token, instance));
    scheduler.failed(token, now);
  }

  private boolean isLost() {
    return lossPercent > 0 && random.nextInt(100) < lossPercent;
  }

  private void accumulateTotals() {
    downMillis += TICK_MILLIS * missing();
    strandedMillis += TICK_MILLIS * StrandedInstances.count(view());
  }

  /** Returns the number of declared groups in availability zones in service that are not ready. */
  public int missing() {
    return MissingGroups.count(view());
  }

  /** Returns the ready groups with a reachable member that is not in the group at its epoch. */
  public List<GroupRecord> misloaded() {
    List<GroupRecord> out = new ArrayList<>();
    for (GroupRecord g : view().groups().values()) {
      if (g.state() == GroupState.READY && g.members().stream().anyMatch(m -> isMisloaded(g, m))) {
        out.add(g);
      }
    }
    return out;
  }

  private boolean isMisloaded(GroupRecord g, GroupMember m) {
    FakeEngine e = fleet.get(m.instance());
    EngineState s = e.state(now);
    return fleet.isReachable(e)
        && s.boot().equals(m.boot())
        && (!s.group().equals(g.group()) || s.fencing() != g.epoch());
  }

  /** Returns the groups of a model in a state. */
  public List<GroupRecord> groups(String model, GroupState wanted) {
    return view().groups().values().stream()
        .filter(g -> g.model().equals(model) && g.state() == wanted)
        .sorted((a, b) -> a.group().compareTo(b.group()))
        .toList();
  }

  /** Returns the current view. */
  public ControlView view() {
    return state.view();
  }

  /** Returns the state machine. */
  public ControlState state() {
    return state;
  }

  /** Returns every command that was applied, in order. */
  public List<ControlCommand> log() {
    return List.copyOf(log);
  }

  /** Returns the time in milliseconds. */
  public long now() {
    return now;
  }

  /** Returns the downtime of declared groups, in group-milliseconds. */
  public long downMillis() {
    return downMillis;
  }

  /** Returns the time for which instances were stranded, in instance-milliseconds. */
  public long strandedMillis() {
    return strandedMillis;
  }

  /** Returns the number of instances added to groups. */
  public long moves() {
    return moves;
  }
}
