package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.GroupMembership;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.MemberState;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.forward.WaitingOrder;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Simulates an entry that selects groups by a policy. It has its own statistics of each group, a
 * possibly outdated list of groups and loads of the other entries, and its calls that wait or are
 * in flight.
 */
final class ExperimentEntry {
  private static final long CHECK_MILLIS = 40;
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final long STALL_MILLIS = 400;
  private static final int MAX_SENDS = 2;

  private final Policy policy;
  private final EngineCost cost;
  private final TimerService timers;
  private final int entries;
  private final Map<String, ExperimentGroup> groups;
  private final Map<String, InstanceStats> stats = new HashMap<>();
  private final Set<Call> waiting = new LinkedHashSet<>();
  private final Set<Call> inFlight = new LinkedHashSet<>();
  private Map<String, InstanceLoad> loadsOfOthers = Map.of();
  private Set<String> knownGroups = Set.of();
  private boolean discovering;
  private long order;

  ExperimentEntry(
      Policy policy,
      EngineCost cost,
      TimerService timers,
      int entries,
      Map<String, ExperimentGroup> groups) {
    this.policy = policy;
    this.cost = cost;
    this.timers = timers;
    this.entries = entries;
    this.groups = groups;
    timers.every(CHECK_MILLIS, this::checkCalls);
  }

  /** Receives the result of a call at the entry; exactly one method is called, once. */
  interface Outcome {
    /**
     * Called when the answer is complete.
     *
     * @param firstAt the time of the first event, in milliseconds
     * @param longestGapMillis the longest time between two events
     */
    void answered(long firstAt, long longestGapMillis);

    /**
     * Called when the call is rejected before its first event; the caller may retry after a delay.
     */
    void refused(long retryAfterMillis);

    /** Called when the call was sent to a group and failed, or its deadline passed. */
    void failed();
  }

  /** Forgets the groups; calls wait until {@link #onReport}. */
  void restart() {
    discovering = true;
    knownGroups = Set.of();
    loadsOfOthers = Map.of();
    stats.clear();
    inFlight.clear();
  }

  /** Replaces the list of groups and the loads from other entries, by group. */
  void onReport(Set<String> groupNames, Map<String, InstanceLoad> loads) {
    discovering = false;
    knownGroups = groupNames;
    loadsOfOthers = loads;
  }

  /** Returns the load that this entry puts on each group, without idle groups. */
  Map<String, InstanceLoad> loads() {
    Map<String, InstanceLoad> out = new HashMap<>();
    stats.forEach(
        (g, s) -> {
          if (s.active() > 0) {
            long idle = s.idleMillis();
            long failingMillis = s.failingMillis();
            out.put(g, new InstanceLoad(g, 1, s.active(), s.prefillTokens(), idle, failingMillis));
          }
        });
    return out;
  }

  /**
   * Sends a request to a group, lets it wait, or rejects it.
   *
   * @param remainingMillis the time until the deadline of the caller
   */
  void accept(
      RequestKind kind,
      ModelProfile model,
      int promptTokens,
      int events,
      long remainingMillis,
      Outcome out) {
    Call c = new Call(kind, model, promptTokens, events, timers.nowMillis(), remainingMillis, out);
    dispatch(c);
  }

  private void dispatch(Call c) {
    long now = timers.nowMillis();
    TargetSelector.Selection selection = choose(c, now);
    FleetInstance target = selection.target();
    if (target != null) {
      waiting.remove(c);
      send(c, target.id(), selection);
      return;
    }
    long waitUntil = c.arrival + Math.min(MAX_WAIT_MILLIS, (c.deadlineAt - c.arrival) / 2);
    boolean mayWait =
        discovering
            || (selection.waitingLimit() > 0
                && (waiting.contains(c) || waiting.size() < selection.waitingLimit()));
    if (mayWait && now < waitUntil) {
      waiting.add(c);
      return;
    }
    waiting.remove(c);
    if (c.firstAt >= 0) {
      c.outcome.failed();
    } else {
      c.outcome.refused(Math.min(selection.retryAfterMillis(), (c.deadlineAt - now) / 3));
    }
  }

  private TargetSelector.Selection choose(Call c, long now) {
    boolean started = c.firstAt >= 0;
    long remainingMillis = c.deadlineAt - now;
    TargetSelector.Need need =
        new TargetSelector.Need(
            c.model,
            c.promptTokens,
            c.eventsLeft * cost.tokensPerEvent(),
            remainingMillis,
            started ? remainingMillis : c.kind.targetMillis() - (now - c.arrival),
            c.kind.targetMillis(),
            false,
            c.tried);
    List<TargetSelector.Candidate> out = new ArrayList<>();
    for (String name : knownGroups) {
      ExperimentGroup g = groups.get(name);
      if (g != null && g.model().equals(c.model)) {
        out.add(
            new TargetSelector.Candidate(
                headInstance(name, g), statsOf(name), loadsOfOthers.get(name), false));
      }
    }
    return policy.choose(need, out, cost, entries, now);
  }

  private InstanceStats statsOf(String name) {
    return stats.computeIfAbsent(name, n -> new InstanceStats(timers::nowMillis));
  }

  private FleetInstance headInstance(String name, ExperimentGroup g) {
    String model = g.model().name();
    return new FleetInstance(
        name,
        1,
        1,
        "s",
        "10.0.0.1:1",
        "z",
        InstancePhase.READY,
        cost.slots(),
        0,
        "d",
        List.of(model),
        List.of(),
        new GroupMembership(model + ".1.1", 1, 0, MemberState.OPEN),
        model);
  }

  private void send(Call c, String name, TargetSelector.Selection selection) {
    ExperimentGroup g = groups.get(name);
    if (g == null) {
      throw new IllegalStateException("no group " + name);
    }
    c.tried.add(name);
    c.sends++;
    c.group = name;
    c.prefillLeft = c.promptTokens;
    c.lastAt = timers.nowMillis();
    c.late = selection.late();
    statsOf(name).started(c.promptTokens, c.late);
    inFlight.add(c);
    ExperimentGroup.Job job =
        new ExperimentGroup.Job(
            selection.urgency(), order++, c.promptTokens, c.eventsLeft, new Progress(c));
    c.job = job;
    timers.after(1, () -> submit(c, job, g));
  }

  private void submit(Call c, ExperimentGroup.Job job, ExperimentGroup g) {
    if (c.job == job) {
      g.submit(job);
    }
  }

  private void checkCalls() {
    long now = timers.nowMillis();
    for (Call c : List.copyOf(inFlight)) {
      boolean stalled = now - c.lastAt > STALL_MILLIS && statsOf(c.group).idleMillis() > 300;
      if (now >= c.deadlineAt) {
        detach(c);
        c.outcome.failed();
      } else if (stalled && c.sends < MAX_SENDS) {
        statsOf(c.group).failed(now);
        detach(c);
        dispatch(c);
      }
    }
    WaitingOrder.sorted(waiting, now).forEach(this::dispatch);
  }

  private void detach(Call c) {
    inFlight.remove(c);
    statsOf(c.group).ended(c.prefillLeft, c.late);
    c.prefillLeft = 0;
    ExperimentGroup g = groups.get(c.group);
    ExperimentGroup.Job j = c.job;
    c.job = null;
    if (g != null && j != null) {
      g.remove(j);
    }
  }

  private final class Progress implements ExperimentGroup.Listener {
    private final Call call;

    Progress(Call call) {
      this.call = call;
    }

    @Override
    public void event() {
      long now = timers.nowMillis();
      InstanceStats s = statsOf(call.group);
      if (call.prefillLeft > 0) {
        s.prefilled(call.prefillLeft, call.late);
        call.prefillLeft = 0;
      } else {
        double predicted = cost.passMillis(call.model, s.active(), call.promptTokens);
        s.recordPace(now - call.lastAt, predicted, now);
      }
      if (call.firstAt < 0) {
        call.firstAt = now;
      } else {
        call.longestGapMillis = Math.max(call.longestGapMillis, now - call.lastAt);
      }
      call.lastAt = now;
      call.eventsLeft--;
      s.progressed();
    }

    @Override
    public void ended() {
      statsOf(call.group).succeeded(timers.nowMillis());
      detach(call);
      call.outcome.answered(call.firstAt, call.longestGapMillis);
    }

    @Override
    public void aborted() {
      statsOf(call.group).failed(timers.nowMillis());
      detach(call);
      if (call.sends < MAX_SENDS) {
        dispatch(call);
      } else {
        call.outcome.failed();
      }
    }
  }

  private static final class Call implements WaitingOrder.Waiting {
    final RequestKind kind;
    final ModelProfile model;
    final int promptTokens;
    final long arrival;
    final long deadlineAt;
    final Outcome outcome;
    final Set<String> tried = new HashSet<>();
    int eventsLeft;
    int sends;
    int prefillLeft;
    boolean late;
    long firstAt = -1;
    long lastAt;
    long longestGapMillis;
    String group = "";
    ExperimentGroup.@Nullable Job job;

    Call(
        RequestKind kind,
        ModelProfile model,
        int promptTokens,
        int events,
        long arrival,
        long remainingMillis,
        Outcome outcome) {
      this.kind = kind;
      this.model = model;
      this.promptTokens = promptTokens;
      this.eventsLeft = events;
      this.arrival = arrival;
      this.deadlineAt = arrival + remainingMillis;
      this.outcome = outcome;
    }

    @Override
    public long targetAt() {
      return arrival + kind.targetMillis();
    }

    @Override
    public long deadlineAt() {
      return deadlineAt;
    }
  }
}
