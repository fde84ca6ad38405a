package org.ebonypond.document;

import java.util.List;

/**
 * A plain service that the document declares.
 *
 * @param name the service's name, unique
 * @param maxConcurrency the maximum number of concurrent calls of a warm backend server
 * @param coldCeiling the maximum number of concurrent calls of a backend server that has just
 *     started
 * @param warmSeconds the time in seconds over which a started backend server ramps up to its full
 *     concurrency
 * @param idempotent the calls that may be retried; every other call runs at most once
 */
public record ServiceSpec(
    String name,
    int maxConcurrency,
    int coldCeiling,
    int warmSeconds,
    List<RoutePattern> idempotent) {
  /** Copies the list. */
  public ServiceSpec {
    idempotent = List.copyOf(idempotent);
  }

  /**
   * Returns whether a call may be retried.
   *
   * @param method the HTTP method, upper case
   * @param path the path below the service, with a leading slash
   */
  public boolean isIdempotent(String method, String path) {
    return idempotent.stream().anyMatch(p -> p.matches(method, path));
  }
}
