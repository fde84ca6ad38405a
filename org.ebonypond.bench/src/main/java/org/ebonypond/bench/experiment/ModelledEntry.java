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
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.MemberState;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/** An entry with a policy: what it knows of the groups, and the calls that it has under way. */
final class ModelledEntry {
  private static final long WATCH_MILLIS = 40;
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final long STALL_MILLIS = 400;
  private static final int MAX_SENDS = 2;

  private final Policy policy;
  private final EngineCost cost;
  private final TimerService timers;
  private final int entries;
  private final Map<String, GroupModel> groups;
  private final Map<String, InstanceStats> stats = new HashMap<>();
  private final Set<Call> waiting = new LinkedHashSet<>();
  private final Set<Call> running = new LinkedHashSet<>();
  private Map<String, HeadLoad> others = Map.of();
  private Set<String> known = Set.of();
  private long order;

  ModelledEntry(
      Policy policy,
      EngineCost cost,
      TimerService timers,
      int entries,
      Map<String, GroupModel> groups) {
    this.policy = policy;
    this.cost = cost;
    this.timers = timers;
    this.entries = entries;
    this.groups = groups;
    timers.every(WATCH_MILLIS, this::watch);
  }

  /** Is told how a call ended at the entry. */
  interface Outcome {
    /** The answer is complete. */
    void answered(long firstAt, long longestGap);

    /** The call has not run; the caller may come back after a pause. */
    void refused(long pauseMillis);

    /** The call failed on the way. */
    void failed();
  }

  /** Replaces what the entry knows of the fleet and of the other entries. */
  void learn(Set<String> groupNames, Map<String, HeadLoad> loads) {
    known = groupNames;
    others = loads;
  }

  /** Returns the work of this entry, by group. */
  Map<String, HeadLoad> loads() {
    long now = timers.nowMillis();
    Map<String, HeadLoad> out = new HashMap<>();
    stats.forEach(
        (g, s) -> {
          if (s.active() > 0) {
            long idle = s.idleMillis(now);
            long distrust = s.distrustMillis(now);
            out.put(g, new HeadLoad(g, 1, s.active(), s.prefillTokens(), idle, distrust));
          }
        });
    return out;
  }

  void accept(CallKind kind, ModelProfile model, int prompt, int events, long left, Outcome out) {
    Call c = new Call(kind, model, prompt, events, timers.nowMillis(), left, out);
    dispatch(c);
  }

  private void dispatch(Call c) {
    long now = timers.nowMillis();
    TargetSelector.Selection d = choose(c, now);
    FleetInstance target = d.target();
    if (target != null) {
      waiting.remove(c);
      send(c, target.id(), d.urgency());
      return;
    }
    long until = c.arrival + Math.min(MAX_WAIT_MILLIS, (c.deadlineAt - c.arrival) / 2);
    boolean waits = waiting.contains(c) || waiting.size() < d.waitingLimit();
    if (d.waitingLimit() > 0 && waits && now < until) {
      waiting.add(c);
      return;
    }
    waiting.remove(c);
    if (c.firstAt >= 0) {
      c.outcome.failed();
    } else {
      c.outcome.refused(Math.min(d.pauseMillis(), (c.deadlineAt - now) / 3));
    }
  }

  private TargetSelector.Selection choose(Call c, long now) {
    boolean started = c.firstAt >= 0;
    long left = c.deadlineAt - now;
    TargetSelector.Need need =
        new TargetSelector.Need(
            c.model,
            c.prompt,
            c.eventsLeft * cost.tokensPerEvent(),
            left,
            started ? left : c.kind.targetMillis() - (now - c.arrival),
            c.tried);
    List<TargetSelector.Candidate> out = new ArrayList<>();
    for (String name : known) {
      GroupModel g = groups.get(name);
      if (g != null && g.model().equals(c.model)) {
        out.add(new TargetSelector.Candidate(head(name, g), statsOf(name), others.get(name)));
      }
    }
    return policy.choose(need, out, cost, entries, now);
  }

  private InstanceStats statsOf(String name) {
    return stats.computeIfAbsent(name, n -> new InstanceStats());
  }

  private FleetInstance head(String name, GroupModel g) {
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

  private void send(Call c, String name, int urgency) {
    GroupModel g = groups.get(name);
    if (g == null) {
      throw new IllegalStateException("no group " + name);
    }
    c.tried.add(name);
    c.sends++;
    c.group = name;
    c.unread = c.prompt;
    c.lastAt = timers.nowMillis();
    statsOf(name).started(c.prompt, c.lastAt);
    running.add(c);
    GroupModel.Job job =
        new GroupModel.Job(urgency, order++, c.prompt, c.eventsLeft, new Progress(c));
    c.job = job;
    timers.after(1, () -> submit(c, job, g));
  }

  private void submit(Call c, GroupModel.Job job, GroupModel g) {
    if (c.job == job) {
      g.submit(job);
    }
  }

  private void watch() {
    long now = timers.nowMillis();
    for (Call c : List.copyOf(running)) {
      boolean stalled = now - c.lastAt > STALL_MILLIS && statsOf(c.group).idleMillis(now) > 300;
      if (now >= c.deadlineAt) {
        leave(c);
        c.outcome.failed();
      } else if (stalled && c.sends < MAX_SENDS) {
        statsOf(c.group).failed(now);
        leave(c);
        dispatch(c);
      }
    }
    List.copyOf(waiting).forEach(this::dispatch);
  }

  private void leave(Call c) {
    running.remove(c);
    statsOf(c.group).ended(c.unread);
    c.unread = 0;
    GroupModel g = groups.get(c.group);
    GroupModel.Job j = c.job;
    c.job = null;
    if (g != null && j != null) {
      g.remove(j);
    }
  }

  private final class Progress implements GroupModel.Listener {
    private final Call call;

    Progress(Call call) {
      this.call = call;
    }

    @Override
    public void event() {
      long now = timers.nowMillis();
      InstanceStats s = statsOf(call.group);
      if (call.unread > 0) {
        s.prefilled(call.unread);
        call.unread = 0;
      } else {
        double predicted = cost.passMillis(call.model, s.active(), call.prompt);
        s.recordPace(now - call.lastAt, predicted, now);
      }
      if (call.firstAt < 0) {
        call.firstAt = now;
      } else {
        call.longestGap = Math.max(call.longestGap, now - call.lastAt);
      }
      call.lastAt = now;
      call.eventsLeft--;
      s.progressed(now);
    }

    @Override
    public void ended() {
      statsOf(call.group).succeeded(timers.nowMillis());
      leave(call);
      call.outcome.answered(call.firstAt, call.longestGap);
    }

    @Override
    public void brokenOff() {
      statsOf(call.group).failed(timers.nowMillis());
      leave(call);
      if (call.sends < MAX_SENDS) {
        dispatch(call);
      } else {
        call.outcome.failed();
      }
    }
  }

  private static final class Call {
    final CallKind kind;
    final ModelProfile model;
    final int prompt;
    final long arrival;
    final long deadlineAt;
    final Outcome outcome;
    final Set<String> tried = new HashSet<>();
    int eventsLeft;
    int sends;
    int unread;
    long firstAt = -1;
    long lastAt;
    long longestGap;
    String group = "";
    GroupModel.@Nullable Job job;

    Call(
        CallKind kind,
        ModelProfile model,
        int prompt,
        int events,
        long arrival,
        long left,
        Outcome outcome) {
      this.kind = kind;
      this.model = model;
      this.prompt = prompt;
      this.eventsLeft = events;
      this.arrival = arrival;
      this.deadlineAt = arrival + left;
      this.outcome = outcome;
    }
  }
}
