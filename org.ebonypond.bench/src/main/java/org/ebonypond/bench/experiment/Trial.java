package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;

/** One simulated run of a pattern with a policy; the same seed gives the same run. */
final class Trial {
  private static final int ENTRIES = 7;
  private static final int GROUPS = 8;
  private static final long RUN_MILLIS = 30_000;

  /** The time after the last arrival in which requests can still end, in milliseconds. */
  private static final long SETTLE_MILLIS = 10_000;

  /**
   * The period in milliseconds at which entries receive the list of groups and the loads of the
   * other entries.
   */
  private static final long REPORT_MILLIS = 200;

  private static final long FAULT_START_MILLIS = 10_000;
  private static final long FAULT_END_MILLIS = 14_000;

  /** The time until restarted entries know the groups again, in milliseconds. */
  private static final long ENTRY_RESTART_MILLIS = 2_500;

  /** The time in milliseconds after which a hung group is removed from the entries' view. */
  private static final long DETECT_MILLIS = 1_500;

  private static final long SLOW_END_MILLIS = 20_000;
  private static final double SLOW_FACTOR = 4;
  private static final double REPEATERS_FRACTION = 0.3;
  private static final int REPEATER_RETRIES = 3;

  private static final List<RequestKind> KINDS =
      List.of(
          new RequestKind("draft", false, 20.4, 1_420, 27, 500, 300, 8_000, 3, 0.76),
          new RequestKind("check", false, 14.8, 1_960, 5, 500, 300, 6_000, 1.9, 0.49),
          new RequestKind("line", true, 59.5, 674, 27, 300, 200, 6_000, 1.7, 0.41));

  private final ManualTimerService timers = new ManualTimerService();
  private final EngineProfile engine = FakeFleet.twoModels();
  private final EngineCost cost = new EngineCost(engine);
  private final Map<String, ExperimentGroup> groups = new TreeMap<>();
  private final List<ExperimentEntry> entries = new ArrayList<>();
  private final Set<String> removed = new TreeSet<>();
  private final Result result = new Result();
  private final Pattern pattern;
  private final double load;
  private final Random random;

  /**
   * Creates the groups and entries of a run.
   *
   * @param load the factor on the usual request rate
   */
  Trial(Pattern pattern, Policy.Factory policy, double load, long seed) {
    this.pattern = pattern;
    this.load = load;
    this.random = new Random(seed);
    for (int i = 0; i < GROUPS; i++) {
      groups.put("large-" + i, new ExperimentGroup(engine, model(false), timers));
      groups.put("small-" + i, new ExperimentGroup(engine, model(true), timers));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new ExperimentEntry(policy.create(seed + i), cost, timers, ENTRIES, groups));
    }
  }

  private ModelProfile model(boolean small) {
    ModelProfile m = engine.model(small ? "small" : "large");
    if (m == null) {
      throw new IllegalStateException("the engine profile has no model named small or large");
    }
    return m;
  }

  /** Runs the simulation and returns its statistics. */
  Result run() {
    timers.every(REPORT_MILLIS, this::report);
    KINDS.forEach(this::scheduleNext);
    timers.after(FAULT_START_MILLIS, this::injectFault);
    timers.advance(RUN_MILLIS + SETTLE_MILLIS);
    return result;
  }

  private void report() {
    long sinceFault = timers.nowMillis() - FAULT_START_MILLIS;
    if (pattern == Pattern.ENTRIES_RESTARTED
        && sinceFault >= 0
        && sinceFault < ENTRY_RESTART_MILLIS) {
      return;
    }
    List<Map<String, InstanceLoad>> loads = entries.stream().map(ExperimentEntry::loads).toList();
    Set<String> visible = new TreeSet<>(groups.keySet());
    visible.removeAll(removed);
    for (int i = 0; i < ENTRIES; i++) {
      Map<String, InstanceLoad> others = new HashMap<>();
      for (int j = 0; j < ENTRIES; j++) {
        if (i != j) {
          loads.get(j).forEach((g, l) -> others.merge(g, l, InstanceLoad::plus));
        }
      }
      entries.get(i).onReport(visible, others);
    }
  }

  private void injectFault() {
    if (pattern == Pattern.ENTRIES_RESTARTED) {
      // The callers of the lost calls are not simulated; their groups drop the calls.
      groups.values().forEach(ExperimentGroup::drop);
      entries.forEach(ExperimentEntry::restart);
      return;
    }
    List<String> names = new ArrayList<>(groups.keySet());
    switch (pattern) {
      case ZONE_LOST -> names.removeIf(n -> (n.charAt(n.length() - 1) - '0') % 3 != 0);
      case ALL_LOST -> removed.addAll(names);
      case SLOW_TENTH -> names.retainAll(List.of("large-0", "small-0"));
      default -> names.clear();
    }
    if (pattern == Pattern.SLOW_TENTH) {
      names.forEach(n -> groups.get(n).slowDown(SLOW_FACTOR));
      timers.after(
          SLOW_END_MILLIS - FAULT_START_MILLIS,
          () -> names.forEach(n -> groups.get(n).slowDown(1)));
      return;
    }
    names.forEach(n -> groups.get(n).hang());
    timers.after(DETECT_MILLIS, () -> removed.addAll(names));
    timers.after(FAULT_END_MILLIS - FAULT_START_MILLIS, () -> names.forEach(this::restart));
  }

  private void restart(String name) {
    groups.get(name).restart();
    removed.remove(name);
  }

  /**
   * Schedules the next request of a kind, and further ones after it, at exponentially distributed
   * intervals.
   */
  private void scheduleNext(RequestKind k) {
    long now = timers.nowMillis();
    if (now >= RUN_MILLIS) {
      return;
    }
    double perMilli = k.perSecond() * load * pattern.rateFactor(now, k.small()) / 1_000;
    long delayMillis = (long) (-Math.log(1 - random.nextDouble()) / perMilli);
    timers.after(
        Math.max(1, delayMillis),
        () -> {
          send(k);
          scheduleNext(k);
        });
  }

  private void send(RequestKind k) {
    long now = timers.nowMillis();
    if (now >= RUN_MILLIS) {
      return;
    }
    boolean repeater = pattern.hasRepeaters(now) && random.nextDouble() < REPEATERS_FRACTION;
    int promptTokens = Math.max(50, (int) (k.promptTokens() * (0.4 + 1.2 * random.nextDouble())));
    int events = Math.max(1, (int) (k.events() * (0.3 + 1.4 * random.nextDouble())));
    send(new Attempt(k, promptTokens, events, now, repeater ? REPEATER_RETRIES : 1, repeater));
  }

  private void send(Attempt a) {
    ExperimentEntry entry = entries.get(random.nextInt(ENTRIES));
    long remainingMillis = a.arrival + a.kind.deadlineMillis() - timers.nowMillis();
    entry.accept(
        a.kind,
        model(a.kind.small()),
        a.promptTokens,
        a.events,
        remainingMillis,
        new ExperimentEntry.Outcome() {
          @Override
          public void answered(long firstAt, long longestGapMillis) {
            long first = firstAt - a.arrival;
            boolean onTime =
                first <= a.kind.targetMillis() && longestGapMillis <= a.kind.gapMillis();
            double credit = onTime ? a.kind.fullCredit() : a.kind.lateCredit();
            result.ended(a.kind, a.arrival, credit, first, false);
          }

          @Override
          public void refused(long retryAfterMillis) {
            long delayMillis = a.repeater ? 1 : Math.max(1, retryAfterMillis);
            long now = timers.nowMillis();
            if (a.retriesLeft > 0 && now + delayMillis < a.arrival + a.kind.deadlineMillis()) {
              timers.after(delayMillis, () -> send(a.retry()));
            } else {
              result.ended(a.kind, a.arrival, 0, -1, true);
            }
          }

          @Override
          public void failed() {
            result.ended(a.kind, a.arrival, 0, -1, false);
          }
        });
  }

  private record Attempt(
      RequestKind kind,
      int promptTokens,
      int events,
      long arrival,
      int retriesLeft,
      boolean repeater) {
    Attempt retry() {
      return new Attempt(kind, promptTokens, events, arrival, retriesLeft - 1, repeater);
    }
  }
}
