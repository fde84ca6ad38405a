package org.ebonypond.serving;

import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name the name of the route
 * @param host the host, without a port
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether calls may be repeated
 * @param timeoutMillis the maximum time that a caller waits, in milliseconds
 * @param targetMillis the target time to the answer or the first event, in milliseconds
 * @param maxGapMillis the target for the longest gap between two events, in milliseconds; 0 if
 *     there is none
 * @param priority the priority of the requests; 0 is the most urgent
 * @param maxInstances the maximum number of instances tried for one attempt of a caller
 * @param anonymous whether requests are accepted without a key
 * @param resumable whether a stream may be resumed on another instance
 * @param services the services among which the route's requests are divided
 */
public record RouteRule(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    long timeoutMillis,
    long targetMillis,
    long maxGapMillis,
    int priority,
    int maxInstances,
    boolean anonymous,
    boolean resumable,
    List<WeightedService> services) {
  /** Copies the list. */
  public RouteRule {
    services = List.copyOf(services);
  }

  /** Returns whether a request that may have been executed can be sent to another instance. */
  public boolean idempotent() {
    return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
  }

  /**
   * Chooses a service by weight.
   *
   * @param draw a random number, not negative
   */
  public String choose(long draw) {
    long total = services.stream().mapToLong(WeightedService::weight).sum();
    if (services.size() == 1 || total <= 0) {
      return services.get(0).service();
    }
    long remaining = draw % total;
    for (WeightedService s : services) {
      remaining -= s.weight();
      if (remaining < 0) {
        return s.service();
      }
    }
    return services.get(0).service();
  }
}
