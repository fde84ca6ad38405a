package org.ebonypond.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ebonypond.kernel.Plugin;

/**
 * Ranks the targets that may take a request. Registered through {@link java.util.ServiceLoader};
 * implementations hold no state.
 */
public interface RoutingPolicy extends Plugin {
  /**
   * Ranks targets.
   *
   * @param request the request
   * @param usable the targets that may take it, not empty
   * @param context the loads and the hints of the entry
   * @return some or all of the targets, the preferred one first; the router takes the first with a
   *     free slot
   */
  List<Target> rank(RouteRequest request, List<Target> usable, Context context);

  /** Returns whether the policy ranks a subset of the targets first when there are many. */
  boolean prefersSubset();

  /** Returns whether the policy considers prefix caches. */
  boolean usesPrefixes();

  /** What a policy may consider besides the request. */
  interface Context {
    /** Returns the estimated load of a target. */
    LoadEstimate load(Target target);

    /** Returns the tokens of the request's prompt that the target probably has cached. */
    double cachedTokens(Target target, RouteRequest request);

    /** Returns the load in tokens by which a target elsewhere must be better; 0 if in the zone. */
    long zonePenalty(Target target);

    /** Returns the number of the decision at this entry, rising by one. */
    long sequence();

    /** Returns the source of randomness for this decision. */
    RandomGenerator random();
  }
}
