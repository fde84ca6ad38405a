package org.ebonypond.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One version of the configuration, indexed for lookups. Immutable. */
public final class ServingConfig {
  private final long version;
  private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();
  private final Map<String, ServiceProfile> services;
  private final Map<String, WorkspaceProfile> workspacesByKey = new HashMap<>();
  private final boolean requiresKey;
  private final ClientLimits limits;

  /** Indexes a validated configuration. */
  public ServingConfig(
      long version,
      List<RouteRule> routes,
      Map<String, ServiceProfile> services,
      List<WorkspaceProfile> workspaces,
      ClientLimits limits) {
    this.version = version;
    this.services = Map.copyOf(services);
    this.requiresKey = !workspaces.isEmpty();
    this.limits = limits;
    for (RouteRule r : routes) {
      routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
    }
    for (List<RouteRule> l : routesByHost.values()) {
      l.sort((a, b) -> b.pathPrefix().length() - a.pathPrefix().length());
    }
    for (WorkspaceProfile w : workspaces) {
      w.keys().forEach(k -> workspacesByKey.put(k, w));
    }
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the route with the longest matching prefix, or null. */
  public @Nullable RouteRule route(String host, String path) {
    for (RouteRule r : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(r.pathPrefix())) {
        return r;
      }
    }
    return null;
  }

  /** Returns a service by name, or null. */
  public @Nullable ServiceProfile service(String name) {
    return services.get(name);
  }

  /** Returns all services by name. */
  public Map<String, ServiceProfile> services() {
    return services;
  }

  /** Returns whether requests require a key unless their route is anonymous. */
  public boolean requiresKey() {
    return requiresKey;
  }

  /** Returns the workspace of a key, or null. */
  public @Nullable WorkspaceProfile workspace(String key) {
    return workspacesByKey.get(key);
  }

  /** Returns the limits on clients. */
  public ClientLimits limits() {
    return limits;
  }
}
