package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.List;

/** Prefers the targets in rotation; a baseline. */
public final class RoundRobinPolicy implements RoutingPolicy {
  @Override
  public String name() {
    return "round-robin";
  }

  @Override
  public List<Target> rank(RouteRequest request, List<Target> usable, Context context) {
    int n = usable.size();
    int start = (int) Math.floorMod(context.sequence(), (long) n);
    List<Target> out = new ArrayList<>(n);
    out.addAll(usable.subList(start, n));
    out.addAll(usable.subList(0, start));
    return out;
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
