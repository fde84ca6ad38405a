package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ebonypond.control.ControlView;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.kernel.PluginRegistry;
import org.ebonypond.routing.CacheEvent;
import org.ebonypond.routing.LoadReport;
import org.ebonypond.routing.RoutingPolicy;

/**
 * Compares routing policies in a queueing model of engines with the same seeded requests.
 * Arguments: scenario ({@code steady} or {@code straggler}), requests per second, seed, number of
 * groups.
 */
public final class PolicyBench {
  private static final int DEFAULT_GROUPS = 24;
  private static final int ENTRIES = 8;
  private static final int ZONES = 3;
  private static final int MAX_CONCURRENCY = 16;
  private static final int CACHE_BLOCKS = 600;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final long RUN_MILLIS = 180_000;
  private static final long REPORT_MILLIS = 500;
  private static final long EVENT_MILLIS = 200;
  private static final double EVENT_LOSS = 0.01;
  private static final double STRAGGLER_SLOWDOWN = 4;

  private record Totals(long prompt, long cached) {}

  private final ManualTimerService timers = new ManualTimerService();
  private final Map<String, EngineModel> engines = new HashMap<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final SplittableRandom random;
  private final SplittableRandom entryChoice;
  private final Workload workload;
  private final PolicyResult warmUp = new PolicyResult();
  private final PolicyResult result = new PolicyResult();

  private PolicyBench(String policy, String scenario, double perSecond, long seed, int groups) {
    this.random = new SplittableRandom(seed);
    this.entryChoice = new SplittableRandom(seed + 1);
    this.workload = new Workload(seed, perSecond);
    ControlView view = BenchViews.of(groups, 2, ZONES, MAX_CONCURRENCY, Workload.specs());
    for (int g = 0; g < groups; g++) {
      String instance = "g" + g + "-0";
      EngineModel e =
          new EngineModel(timers, MAX_CONCURRENCY, CACHE_BLOCKS, c -> publish(instance, c));
      engines.put(instance, e);
      timers.after(
          random.nextInt((int) REPORT_MILLIS),
          () -> timers.every(REPORT_MILLIS, () -> report(instance, e)));
    }
    RoutingPolicy p = PluginRegistry.load(RoutingPolicy.class).get(policy);
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(
          new EntryModel("e" + i, "z" + i % ZONES, p, view, timers, engines, seed * 100 + i));
    }
    EngineModel first = engines.get("g0-0");
    if (scenario.equals("straggler") && first != null) {
      timers.after(WARM_UP_MILLIS, () -> first.slowDown(STRAGGLER_SLOWDOWN));
    }
    arriveNext();
  }

  /** Runs each policy and prints one line for each. */
  public static void main(String[] args) {
    String scenario = args.length > 0 ? args[0] : "steady";
    double perSecond = args.length > 1 ? Double.parseDouble(args[1]) : 60;
    final long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
    final int groups = args.length > 3 ? Integer.parseInt(args[3]) : DEFAULT_GROUPS;
    System.out.println(
        "scenario " + scenario + ", " + perSecond + "/s, seed " + seed + ", groups " + groups);
    System.out.println(PolicyResult.header());
    for (String policy : List.of("round-robin", "least-outstanding", "prefix-tokens")) {
      System.out.println(new PolicyBench(policy, scenario, perSecond, seed, groups).run(policy));
    }
  }

  private String run(String policy) {
    timers.advance(WARM_UP_MILLIS);
    final Totals before = totals();
    timers.advance(RUN_MILLIS);
    final Totals after = totals();
    // Every request ends within its deadline, or within the time of a slow answer after it.
    timers.advance(600_000);
    warmUp.check();
    result.check();
    long prompt = after.prompt - before.prompt;
    int ejections = entries.stream().mapToInt(EntryModel::ejections).sum();
    double cacheShare = (double) (after.cached - before.cached) / Math.max(1, prompt);
    return result.line(policy, cacheShare, ejections);
  }

  private Totals totals() {
    return new Totals(
        engines.values().stream().mapToLong(EngineModel::promptTokens).sum(),
        engines.values().stream().mapToLong(EngineModel::cachedTokens).sum());
  }

  private void arriveNext() {
    Workload.Arrival a = workload.next();
    timers.after(
        Math.round(a.gapMillis()),
        () -> {
          long now = timers.nowMillis();
          if (now > WARM_UP_MILLIS + RUN_MILLIS) {
            return;
          }
          EntryModel e = entries.get(entryChoice.nextInt(ENTRIES));
          e.arrive(a, now < WARM_UP_MILLIS ? warmUp : result);
          arriveNext();
        });
  }

  /** Reports reach the entries through the control leader, 100 to 700 ms after the measurement. */
  private void report(String instance, EngineModel engine) {
    LoadReport r = engine.report();
    for (EntryModel e : entries) {
      timers.after(100 + random.nextInt(600), () -> e.router().onLoadReport(instance, r));
    }
  }

  private void publish(String instance, CacheEvent c) {
    if (random.nextDouble() < EVENT_LOSS) {
      return;
    }
    timers.after(
        EVENT_MILLIS,
        () -> entries.forEach(e -> e.router().onCacheEvents(instance, "boot1", List.of(c))));
  }
}
