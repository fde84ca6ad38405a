package org.ebonypond.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ebonypond.kernel.Plugin;

/**
 * Ranks the targets for a request. Registered through {@link java.util.ServiceLoader};
 * implementations are stateless.
 */
public interface RoutingPolicy extends Plugin {
  /**
   * Ranks targets.
   *
   * @param request the request
   * @param usable the targets that are allowed to serve it, not empty
   * @param context the entry's estimates of load and cache content
   * @return some or all of the targets, the most preferred first; the router selects the first one
   *     with a free slot
   */
  List<Target> rank(RouteRequest request, List<Target> usable, Context context);

  /**
   * Returns whether the router offers the preferred subset of a large pool before the other
   * targets.
   */
  boolean prefersSubset();

  /** Returns whether the policy considers prefix caches. */
  boolean usesPrefixes();

  /** The inputs of a policy besides the request. */
  interface Context {
    /** Returns the estimated load of a target. */
    LoadEstimate load(Target target);

    /** Returns the tokens of the request's prompt that the target probably has cached. */
    double cachedTokens(Target target, RouteRequest request);

    /** Returns the load penalty in tokens of a target, 0 in the entry's own availability zone. */
    long zonePenalty(Target target);

    /** Returns the number of the decision at this entry, which increases by one each time. */
    long sequence();

    /** Returns the source of randomness for this decision. */
    RandomGenerator random();
  }
}
