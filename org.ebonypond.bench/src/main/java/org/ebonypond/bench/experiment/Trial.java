package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;

/** One run of a pattern with a policy; the same seed gives the same run. */
final class Trial {
  private static final int ENTRIES = 7;
  private static final int GROUPS = 8;
  private static final long RUN_MILLIS = 30_000;
  private static final long SETTLE_MILLIS = 10_000;

  /** Entries hear of each other and of groups this late. */
  private static final long REPORT_MILLIS = 200;

  private static final long TROUBLE_FROM = 10_000;
  private static final long TROUBLE_TO = 14_000;

  /** The time until a group that stands still is taken out of the entries' view. */
  private static final long DETECT_MILLIS = 1_500;

  private static final long SLOW_TO = 20_000;
  private static final double SLOW_FACTOR = 4;
  private static final double REPEATERS_PART = 0.3;
  private static final int REPEATS = 3;

  private static final List<CallKind> KINDS =
      List.of(
          new CallKind("draft", false, 20.4, 1_420, 27, 500, 300, 8_000, 3, 0.76),
          new CallKind("check", false, 14.8, 1_960, 5, 500, 300, 6_000, 1.9, 0.49),
          new CallKind("line", true, 59.5, 674, 27, 300, 200, 6_000, 1.7, 0.41));

  private final ManualTimerService timers = new ManualTimerService();
  private final EngineProfile engine = FakeFleet.twoModels();
  private final EngineCost cost = new EngineCost(engine);
  private final Map<String, GroupModel> groups = new TreeMap<>();
  private final List<ModelledEntry> entries = new ArrayList<>();
  private final Set<String> gone = new TreeSet<>();
  private final Result result = new Result();
  private final Pattern pattern;
  private final double load;
  private final Random random;

  /**
   * Sets a run up.
   *
   * @param load the factor on the usual requests
   */
  Trial(Pattern pattern, Policy.Factory policy, double load, long seed) {
    this.pattern = pattern;
    this.load = load;
    this.random = new Random(seed);
    for (int i = 0; i < GROUPS; i++) {
      groups.put("large-" + i, new GroupModel(engine, model(false), timers));
      groups.put("small-" + i, new GroupModel(engine, model(true), timers));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new ModelledEntry(policy.create(seed + i), cost, timers, ENTRIES, groups));
    }
  }

  private ModelProfile model(boolean small) {
    ModelProfile m = engine.model(small ? "small" : "large");
    if (m == null) {
      throw new IllegalStateException("the profile has other models");
    }
    return m;
  }

  /** Runs it. */
  Result run() {
    timers.every(REPORT_MILLIS, this::report);
    KINDS.forEach(this::next);
    timers.after(TROUBLE_FROM, this::beginTrouble);
    timers.advance(RUN_MILLIS + SETTLE_MILLIS);
    return result;
  }

  private void report() {
    List<Map<String, HeadLoad>> loads = entries.stream().map(ModelledEntry::loads).toList();
    Set<String> known = new TreeSet<>(groups.keySet());
    known.removeAll(gone);
    for (int i = 0; i < ENTRIES; i++) {
      Map<String, HeadLoad> others = new HashMap<>();
      for (int j = 0; j < ENTRIES; j++) {
        if (i != j) {
          loads.get(j).forEach((g, l) -> others.merge(g, l, HeadLoad::plus));
        }
      }
      entries.get(i).learn(known, others);
    }
  }

  private void beginTrouble() {
    List<String> names = new ArrayList<>(groups.keySet());
    switch (pattern) {
      case ZONE_LOST -> names.removeIf(n -> (n.charAt(n.length() - 1) - '0') % 3 != 0);
      case ALL_LOST -> gone.addAll(names);
      case SLOW_TENTH -> names.retainAll(List.of("large-0", "small-0"));
      default -> names.clear();
    }
    if (pattern == Pattern.SLOW_TENTH) {
      names.forEach(n -> groups.get(n).slow(SLOW_FACTOR));
      timers.after(SLOW_TO - TROUBLE_FROM, () -> names.forEach(n -> groups.get(n).slow(1)));
      return;
    }
    names.forEach(n -> groups.get(n).stand());
    timers.after(DETECT_MILLIS, () -> gone.addAll(names));
    timers.after(TROUBLE_TO - TROUBLE_FROM, () -> names.forEach(this::repair));
  }

  private void repair(String name) {
    groups.get(name).repair();
    gone.remove(name);
  }

  /** Sends the next request of a kind and plans the one after it. */
  private void next(CallKind k) {
    long now = timers.nowMillis();
    if (now >= RUN_MILLIS) {
      return;
    }
    double perMilli = k.perSecond() * load * pattern.rate(now, k.small()) / 1_000;
    long pause = (long) (-Math.log(1 - random.nextDouble()) / perMilli);
    timers.after(
        Math.max(1, pause),
        () -> {
          ask(k);
          next(k);
        });
  }

  private void ask(CallKind k) {
    long now = timers.nowMillis();
    if (now >= RUN_MILLIS) {
      return;
    }
    boolean repeater = pattern.repeats(now) && random.nextDouble() < REPEATERS_PART;
    int prompt = Math.max(50, (int) (k.promptTokens() * (0.4 + 1.2 * random.nextDouble())));
    int events = Math.max(1, (int) (k.events() * (0.3 + 1.4 * random.nextDouble())));
    ask(new Attempt(k, prompt, events, now, repeater ? REPEATS : 1, repeater));
  }

  private void ask(Attempt a) {
    ModelledEntry entry = entries.get(random.nextInt(ENTRIES));
    long left = a.arrival + a.kind.deadlineMillis() - timers.nowMillis();
    entry.accept(
        a.kind,
        model(a.kind.small()),
        a.prompt,
        a.events,
        left,
        new ModelledEntry.Outcome() {
          @Override
          public void answered(long firstAt, long longestGap) {
            long first = firstAt - a.arrival;
            boolean inTime = first <= a.kind.targetMillis() && longestGap <= a.kind.gapMillis();
            double credit = inTime ? a.kind.worth() : a.kind.lateWorth();
            result.ended(a.kind, a.arrival, credit, first, false);
          }

          @Override
          public void refused(long pauseMillis) {
            long pause = a.repeater ? 1 : Math.max(1, pauseMillis);
            long now = timers.nowMillis();
            if (a.retries > 0 && now + pause < a.arrival + a.kind.deadlineMillis()) {
              timers.after(pause, () -> ask(a.again()));
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
      CallKind kind, int prompt, int events, long arrival, int retries, boolean repeater) {
    Attempt again() {
      return new Attempt(kind, prompt, events, arrival, retries - 1, repeater);
    }
  }
}
