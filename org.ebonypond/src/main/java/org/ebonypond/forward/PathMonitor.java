package org.ebonypond.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides from the failures of one entry whether it can still reach the instances of a service on
 * its own network path. An instance that has crashed or is slow looks the same as a lost path from
 * one failure. What tells them apart is that several instances fail while no bytes arrive from any
 * other one of the service, and that new connections fail as well. Not thread-safe.
 */
public final class PathMonitor {
  /**
   * The number of instances of a service that must have failed before the paths to all of them
   * count as lost. Two may be members of one group.
   */
  static final int FAILED_INSTANCES = 3;

  /**
   * Failures older than this, in milliseconds, say nothing about the present. An entry that
   * receives a request a second sees enough failures within this time.
   */
  static final long EVIDENCE_MILLIS = 3_000;

  /** The interval between probes of lost paths while they fail, in milliseconds. */
  static final long PROBE_MILLIS = 300;

  /** The interval between probes while they succeed, in milliseconds. */
  static final long RECOVERING_PROBE_MILLIS = 50;

  private final Map<String, ServicePaths> services = new HashMap<>();

  /** The instances to which the last connection attempt failed. */
  private final Set<String> unreachable = new LinkedHashSet<>();

  /** The instances that were probed, in the order of the last probe. */
  private final Set<String> probed = new LinkedHashSet<>();

  private long nextProbeAt = Long.MIN_VALUE;

  /** What failed on the path to an instance. */
  public enum Failure {
    /** A connection was not established. */
    CONNECT,
    /** A request on an open connection was not answered in time, or its connection broke. */
    NO_ANSWER
  }

  /**
   * Records a failure on the entry's own path.
   *
   * @param instances the number of instances of the service
   * @return whether the paths to all instances of the service count as lost since this failure
   */
  public boolean failed(String instance, String service, Failure failure, int instances, long now) {
    ServicePaths paths = services.computeIfAbsent(service, s -> new ServicePaths());
    paths.expire(now);
    paths.failedAt.put(instance, now);
    if (failure == Failure.CONNECT) {
      unreachable.add(instance);
      paths.connectFailed = true;
    }
    int needed = Math.max(1, Math.min(FAILED_INSTANCES, instances));
    if (paths.lost || !paths.connectFailed || paths.failedAt.size() < needed) {
      return false;
    }
    paths.lost = true;
    return true;
  }

  /**
   * Records that bytes of an instance of a service arrived on the entry's own path.
   *
   * @return whether the paths of the service counted as lost until now
   */
  public boolean progressed(String service) {
    ServicePaths paths = services.remove(service);
    return paths != null && paths.lost;
  }

  /**
   * Records that a connection to an instance was established on the entry's own path.
   *
   * @return whether the paths of the service counted as lost until now
   */
  public boolean connected(String instance, String service) {
    unreachable.remove(instance);
    return progressed(service);
  }

  /**
   * Records that another entry could not reach an instance either: the instance is the cause, not
   * the path.
   */
  public void failedElsewhere(String instance) {
    unreachable.remove(instance);
  }

  /** Returns whether a request to an instance should use the entry's own path. */
  public boolean isDirect(String instance, String service) {
    return !isLost(service) && !unreachable.contains(instance);
  }

  /** Returns whether the paths to all instances of a service count as lost. */
  public boolean isLost(String service) {
    ServicePaths paths = services.get(service);
    return paths != null && paths.lost;
  }

  /** Returns whether the paths to all instances of any service count as lost. */
  public boolean isAnyLost() {
    return services.values().stream().anyMatch(p -> p.lost);
  }

  /**
   * Returns an instance to which a connection should be opened now, to learn whether the entry's
   * own path to it works; null if no probe is due.
   *
   * @param instances returns the instances of a service; those that have come since its paths were
   *     lost may be the only ones that are left
   */
  public @Nullable String dueProbe(Function<String, Collection<String>> instances, long now) {
    if (now < nextProbeAt) {
      return null;
    }
    Set<String> candidates = new LinkedHashSet<>(unreachable);
    services.forEach(
        (service, p) -> {
          p.expire(now);
          // Requests without an answer alone may also mean that the instances are slow.
          if (p.lost || p.failedAt.size() >= FAILED_INSTANCES) {
            candidates.addAll(instances.apply(service));
          }
        });
    if (candidates.isEmpty()) {
      return null;
    }
    nextProbeAt = now + PROBE_MILLIS;
    String next =
        candidates.stream()
            .filter(c -> !probed.contains(c))
            .findFirst()
            .orElseGet(() -> firstProbed(candidates));
    probed.remove(next);
    probed.add(next);
    return next;
  }

  private String firstProbed(Set<String> candidates) {
    return probed.stream().filter(candidates::contains).findFirst().orElseThrow();
  }

  /** Records that a probe succeeded, so that the next one may follow soon. */
  public void probeSucceeded(long now) {
    nextProbeAt = now + RECOVERING_PROBE_MILLIS;
  }

  /** Forgets all instances but those that are still known. */
  public void retain(Predicate<String> isKnown) {
    Predicate<String> isGone = isKnown.negate();
    unreachable.removeIf(isGone);
    probed.removeIf(isGone);
    services.values().forEach(p -> p.failedAt.keySet().removeIf(isGone));
    services.values().removeIf(p -> p.failedAt.isEmpty());
  }

  /** The failures of the instances of one service since bytes last arrived from any of them. */
  private static final class ServicePaths {
    private final Map<String, Long> failedAt = new LinkedHashMap<>();
    private boolean connectFailed;
    private boolean lost;

    void expire(long now) {
      if (!lost) {
        failedAt.values().removeIf(at -> now - at > EVIDENCE_MILLIS);
        connectFailed &= !failedAt.isEmpty();
      }
    }
  }
}
