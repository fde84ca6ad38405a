package org.ebonypond.routing;

import java.util.List;

/** Prefers the target with the fewest requests in flight, with random ties; a baseline. */
public final class LeastOutstandingPolicy implements RoutingPolicy {
  @Override
  public String name() {
    return "least-outstanding";
  }

  @Override
  public List<Target> rank(RouteRequest request, List<Target> usable, Context context) {
    return Ranking.byCost(usable, t -> context.load(t).requests(), context.random());
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
