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
 * Compares routing policies in a queueing model of engines with the same sequence of requests.
 * Arguments: scenario ({@code steady}, the default, or {@code straggler}), requests per second
 * (default 60), seed (default 1), number of groups (default 24).
 */
public final class PolicyBench {
  private static final int DEFAULT_GROUPS = 24;
  private static final int ENTRIES = 8;
  private static final int ZONES = 3;
  private static final int MAX_CONCURRENCY = 16;
  private static final int CACHE_BLOCKS = 600;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final long RUN_MILLIS = 180_000;
  private static final long REPORT_PERIOD_MILLIS = 500;
  private static final long EVENT_DELAY_MILLIS = 200;
  private static final double EVENT_LOSS_RATE = 0.01;
  private static final double STRAGGLER_SLOWDOWN = 4;

  private record TokenCounts(long prompt, long cached) {}

  private final ManualTimerService timers = new ManualTimerService();
  private final Map<String, EngineModel> engines = new HashMap<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final SplittableRandom random;
  private final SplittableRandom entryChoice;
  private final Workload workload;
  private final RoutingResult warmUp = new RoutingResult();
  private final RoutingResult result = new RoutingResult();

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
          random.nextInt((int) REPORT_PERIOD_MILLIS),
          () -> timers.every(REPORT_PERIOD_MILLIS, () -> report(instance, e)));
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
    scheduleNextArrival();
  }

  /** Runs each policy and prints one line of statistics for it. */
  public static void main(String[] args) {
    String scenario = args.length > 0 ? args[0] : "steady";
    double perSecond = args.length > 1 ? Double.parseDouble(args[1]) : 60;
    final long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
    final int groups = args.length > 3 ? Integer.parseInt(args[3]) : DEFAULT_GROUPS;
    System.out.println(
        "scenario " + scenario + ", " + perSecond + "/s, seed " + seed + ", groups " + groups);
    System.out.println(RoutingResult.header());
    for (String policy : List.of("round-robin", "least-outstanding", "prefix-tokens")) {
      System.out.println(new PolicyBench(policy, scenario, perSecond, seed, groups).run(policy));
    }
  }

  private String run(String policy) {
    timers.advance(WARM_UP_MILLIS);
    final TokenCounts before = tokenCounts();
    timers.advance(RUN_MILLIS);
    final TokenCounts after = tokenCounts();
    // Lets all requests end: at the deadline, or when a slow answer is complete after it.
    timers.advance(600_000);
    warmUp.check();
    result.check();
    long prompt = after.prompt - before.prompt;
    int ejections = entries.stream().mapToInt(EntryModel::ejections).sum();
    double cacheHitRatio = (double) (after.cached - before.cached) / Math.max(1, prompt);
    return result.line(policy, cacheHitRatio, ejections);
  }

  private TokenCounts tokenCounts() {
    return new TokenCounts(
        engines.values().stream().mapToLong(EngineModel::promptTokens).sum(),
        engines.values().stream().mapToLong(EngineModel::cachedTokens).sum());
  }

  private void scheduleNextArrival() {
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
          scheduleNextArrival();
        });
  }

  /**
   * Delivers a load report to the entries through the control leader, 100 to 700 ms after its
   * measurement.
   */
  private void report(String instance, EngineModel engine) {
    LoadReport r = engine.report();
    for (EntryModel e : entries) {
      timers.after(100 + random.nextInt(600), () -> e.router().onLoadReport(instance, r));
    }
  }

  private void publish(String instance, CacheEvent c) {
    if (random.nextDouble() < EVENT_LOSS_RATE) {
      return;
    }
    timers.after(
        EVENT_DELAY_MILLIS,
        () -> entries.forEach(e -> e.router().onCacheEvents(instance, "boot1", List.of(c))));
  }
}
