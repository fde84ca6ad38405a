package org.ebonypond.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ebonypond.control.ControlView;
import org.ebonypond.events.EventSink;
import org.ebonypond.kernel.PluginRegistry;
import org.ebonypond.routing.LoadReport;
import org.ebonypond.routing.PromptBlocks;
import org.ebonypond.routing.Reservation;
import org.ebonypond.routing.RouteRequest;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.RouterSettings;
import org.ebonypond.routing.RouterState;
import org.ebonypond.routing.RoutingPolicy;
import org.ebonypond.routing.RoutingTable;
import org.ebonypond.routing.SlotLimiter;

/**
 * Measures routing decisions per second and the memory of the routing state by number of groups of
 * eight instances. Argument: milliseconds per measurement (default 2000).
 */
public final class RoutingBench {
  private static final int MEMBERS = 8;
  private static final int PREFIXES = 500;
  private static final int BLOCKS = 32;

  private final long millis;
  private final PromptBlocks[] prompts = new PromptBlocks[PREFIXES];

  private RoutingBench(long millis) {
    this.millis = millis;
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < PREFIXES; i++) {
      prompts[i] = PromptBlocks.ofHashes(random.longs(BLOCKS).toArray());
    }
  }

  /** Runs the measurements and prints one line for each. */
  public static void main(String[] args) throws InterruptedException {
    new RoutingBench(args.length > 0 ? Long.parseLong(args[0]) : 2_000).run();
  }

  private void run() throws InterruptedException {
    System.out.println("policy             groups threads decisions/s table-ms bytes/group");
    for (int groups : new int[] {10, 100, 1_000, 10_000}) {
      ControlView view = BenchViews.of(groups, MEMBERS, 18, 64, List.of());
      final double tableMillis = tableMillis(view);
      for (String policy : List.of("round-robin", "least-outstanding", "prefix-tokens")) {
        for (int threads : new int[] {1, 4}) {
          measure(view, groups, policy, threads, tableMillis);
        }
      }
    }
  }

  private static double tableMillis(ControlView view) {
    int runs = 20;
    for (int i = 0; i < runs; i++) {
      RoutingTable.of(view);
    }
    long startNanos = System.nanoTime();
    for (int i = 0; i < runs; i++) {
      RoutingTable.of(view);
    }
    return (System.nanoTime() - startNanos) / 1e6 / runs;
  }

  private void measure(ControlView view, int groups, String policy, int threads, double tableMillis)
      throws InterruptedException {
    final long before = usedBytes();
    RouterState state = RouterState.create();
    Router router =
        new Router(
            RouterSettings.of("entry-1", "z0"),
            PluginRegistry.load(RoutingPolicy.class).get(policy),
            state,
            SlotLimiter.NONE,
            EventSink.NONE,
            new SplittableRandom(1));
    router.onView(view);
    for (int g = 0; g < groups; g++) {
      router.onLoadReport("g" + g + "-0", new LoadReport("boot1", 0, g % 7, 0, g % 7 * 100));
    }
    decide(router, 0, millis / 2);
    long[] counts = new long[threads];
    List<Thread> running = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      int n = t;
      Thread thread = new Thread(() -> counts[n] = decide(router, n, millis));
      thread.start();
      running.add(thread);
    }
    long total = 0;
    for (int t = 0; t < threads; t++) {
      running.get(t).join();
      total += counts[t];
    }
    double perGroup = (double) Math.max(0, usedBytes() - before) / groups;
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-18s %6d %7d %11.0f %8.2f %11.0f",
            policy,
            groups,
            threads,
            total * 1_000.0 / millis,
            tableMillis,
            perGroup));
    if (router.table().models().isEmpty()) {
      throw new IllegalStateException("the routing table has no models");
    }
  }

  /** Routes and completes requests with 64 in flight; returns the number of decisions. */
  private long decide(Router router, int thread, long forMillis) {
    SplittableRandom random = new SplittableRandom(thread);
    ArrayDeque<Reservation> inFlight = new ArrayDeque<>();
    long n = 0;
    long startNanos = System.nanoTime();
    long end = startNanos + forMillis * 1_000_000;
    while (System.nanoTime() < end) {
      long now = (System.nanoTime() - startNanos) / 1_000_000;
      RouteRequest r =
          RouteRequest.model(
              "r" + (n & 1023),
              BenchViews.MODEL,
              "w",
              BLOCKS * 64,
              prompts[random.nextInt(PREFIXES)]);
      Optional<Reservation> c = router.choose(r, now);
      c.ifPresent(inFlight::add);
      if (inFlight.size() > 64) {
        inFlight.remove().complete(100, 50, now);
      }
      n++;
    }
    inFlight.forEach(r -> r.release(forMillis));
    return n;
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }
}
