package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Prefers the target with the fewest outstanding tokens, including the part of the request's own
 * prompt that is not in the target's prefix cache. Among many targets it compares only two random
 * ones and the two with the longest cached prefix, so that entries with the same outdated reports
 * do not all choose the same target.
 */
public final class PrefixTokensPolicy implements RoutingPolicy {
  /**
   * The maximum number of targets that are all compared. With six or eight targets, two random
   * choices gave an earlier first token than a comparison of all, since each entry sees the load of
   * the other entries with a delay.
   */
  private static final int COMPARE_ALL = 3;

  @Override
  public String name() {
    return "prefix-tokens";
  }

  @Override
  public List<Target> rank(RouteRequest request, List<Target> usable, Context context) {
    if (usable.size() <= COMPARE_ALL) {
      return byCost(request, usable, context);
    }
    Set<Target> first = candidates(request, usable, context);
    List<Target> out = new ArrayList<>(byCost(request, List.copyOf(first), context));
    // The other targets are used only if no candidate has a free slot.
    int n = usable.size();
    int start = context.random().nextInt(n);
    for (int i = 0; i < n; i++) {
      Target t = usable.get((start + i) % n);
      if (!first.contains(t)) {
        out.add(t);
      }
    }
    return out;
  }

  @Override
  public boolean prefersSubset() {
    return true;
  }

  @Override
  public boolean usesPrefixes() {
    return true;
  }

  private static Set<Target> candidates(
      RouteRequest request, List<Target> usable, Context context) {
    Set<Target> out = new LinkedHashSet<>();
    RandomGenerator r = context.random();
    int n = usable.size();
    int a = r.nextInt(n);
    int b = r.nextInt(n - 1);
    out.add(usable.get(a));
    out.add(usable.get(b >= a ? b + 1 : b));
    if (request.prefix().size() == 0) {
      return out;
    }
    Target best = null;
    Target second = null;
    double bestTokens = 0;
    double secondTokens = 0;
    int start = r.nextInt(n);
    for (int i = 0; i < n; i++) {
      Target t = usable.get((start + i) % n);
      double c = context.cachedTokens(t, request);
      if (c > bestTokens) {
        second = best;
        secondTokens = bestTokens;
        best = t;
        bestTokens = c;
      } else if (c > secondTokens) {
        second = t;
        secondTokens = c;
      }
    }
    if (best != null) {
      out.add(best);
    }
    if (second != null) {
      out.add(second);
    }
    return out;
  }

  private static List<Target> byCost(RouteRequest request, List<Target> targets, Context c) {
    return Ranking.byCost(
        targets,
        t ->
            c.load(t).tokens()
                + Math.max(0, request.promptTokens() - c.cachedTokens(t, request))
                + c.zonePenalty(t),
        c.random());
  }
}
