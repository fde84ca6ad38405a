package org.ebonypond.serving;

import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name the name of the route
 * @param host the host, without a port
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds
 * @param targetMillis the time to the answer, or to the first event, that is still on time
 * @param maxGapMillis the longest pause between two events that is still on time; 0 if none is set
 * @param priority the rank of the requests; 0 is the most urgent
 * @param maxInstances the most instances to which one attempt of a caller may be sent
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may be resumed on another instance
 * @param services the services that share the route's requests
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

  /** Returns whether a request that may have run can be sent to another instance. */
  public boolean idempotent() {
    return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
  }

  /**
   * Chooses a service by weight.
   *
   * @param draw a random number, not negative
   */
  public String choose(long draw) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (services.size() == 1 || total <= 0) {
      return services.get(0).service();
    }
    long rest = draw % total;
    for (WeightedService s : services) {
      rest -= s.weight();
      if (rest < 0) {
        return s.service();
      }
    }
    return services.get(0).service();
  }
}
