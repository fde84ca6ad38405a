package org.ebonypond.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ebonypond.events.EventSink;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LoadEstimatorTest {
  /** Guards against own requests that are left out or counted twice when a report arrives late. */
  @Test
  void addsOwnRequestsThatReportDoesNotCover() {
    LoadEstimator load = new LoadEstimator();
    Target t = new Views(100).withGroups(1).group("g0");
    final LoadEstimator.Ticket covered = load.tryStart(t, 100, 1_000);
    load.tryStart(t, 50, 1_020);
    load.onReport(t, new LoadReport("boot1", 1_010, 3, 1, 400));
    assertEquals(new LoadEstimate(5, 450), load.estimate(t, 1_030));
    load.end(covered, 1_040);
    assertEquals(new LoadEstimate(4, 350), load.estimate(t, 1_050));
    load.onReport(t, new LoadReport("boot1", 1_005, 90, 90, 9_000));
    load.onReport(t, new LoadReport("boot0", 1_060, 90, 90, 9_000));
    assertEquals(new LoadEstimate(4, 350), load.estimate(t, 1_050));
    load.onReport(t, new LoadReport("boot1", 1_100, 0, 0, 0));
    assertEquals(new LoadEstimate(1, 50), load.estimate(t, 1_110));
  }

  /**
   * Guards against negative loads and, with exact reports, against an estimate below the actual
   * load.
   */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void estimateCoversActualLoad(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadEstimator load = new LoadEstimator();
    Target t = new Views(1_000).withGroups(1).group("g0");
    List<LoadEstimator.Ticket> open = new ArrayList<>();
    List<LoadReport> pending = new ArrayList<>();
    for (long now = 0; now < 5_000; now++) {
      if (random.nextInt(3) == 0) {
        open.add(load.tryStart(t, 10, now));
      }
      if (!open.isEmpty() && random.nextInt(3) == 0) {
        load.end(open.remove(random.nextInt(open.size())), now);
      }
      if (now % 100 == 0) {
        pending.add(new LoadReport("boot1", now, open.size(), 0, open.size() * 10L));
      }
      if (!pending.isEmpty() && random.nextInt(60) == 0) {
        load.onReport(t, pending.remove(random.nextInt(pending.size())));
      }
      LoadEstimate e = load.estimate(t, now);
      assertTrue(e.requests() >= open.size(), "at " + now + ": " + e + " < " + open.size());
      assertTrue(e.tokens() >= open.size() * 10L, "at " + now + ": " + e);
    }
  }

  /** Guards against all entries choosing the one group that an outdated report shows as idle. */
  @Test
  void spreadsRequestsDespiteOutdatedReport() {
    int reportOnly = largestShare("naive");
    int withOwn = largestShare("prefix-tokens");
    assertEquals(180, reportOnly, "an estimate from reports alone sends all requests to one group");
    assertTrue(withOwn <= 60, "largest share " + withOwn);
  }

  /**
   * Returns the most requests at one group when each of nine entries sends 20 with the same report.
   */
  private static int largestShare(String kind) {
    Views v = new Views(1_000).withGroups(12);
    Map<String, LoadReport> reports = new HashMap<>();
    for (int g = 0; g < 12; g++) {
      long tokens = g == 7 ? 0 : 2_000;
      reports.put("g" + g + "a", new LoadReport("boot1", 0, (int) tokens / 200, 0, tokens));
    }
    Map<String, Integer> count = new HashMap<>();
    for (int entry = 0; entry < 9; entry++) {
      RouterState routerState = RouterState.create();
      Router router =
          new Router(
              new RouterSettings("entry-" + entry, "z" + entry % 3, 64, 0),
              kind.equals("naive") ? new ReportOnly(reports) : new PrefixTokensPolicy(),
              routerState,
              SlotLimiter.NONE,
              EventSink.NONE,
              new SplittableRandom(entry));
      router.onView(v.view());
      reports.forEach(router::onLoadReport);
      for (int i = 0; i < 20; i++) {
        RouteRequest r =
            RouteRequest.model("r" + entry + i, Views.MODEL, "w", 100, PromptBlocks.NONE);
        count.merge(router.choose(r, 100).orElseThrow().target().key(), 1, Integer::sum);
      }
    }
    return count.values().stream().mapToInt(i -> i).max().orElse(0);
  }

  /** Ranks by the last report of each group alone, without the own requests. */
  private record ReportOnly(Map<String, LoadReport> reports) implements RoutingPolicy {
    @Override
    public String name() {
      return "report-only";
    }

    @Override
    public List<Target> rank(RouteRequest request, List<Target> usable, Context context) {
      return Ranking.byCost(usable, t -> reports.get(t.instance()).tokens(), context.random());
    }

    @Override
    public boolean prefersSubset() {
      return false;
    }

    @Override
    public boolean usesPrefixes() {
      return false;
    }
  }
}
