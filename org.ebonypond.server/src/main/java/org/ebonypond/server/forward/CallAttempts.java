package org.ebonypond.server.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.fleet.FleetInstance;

/**
 * The attempts of one call: those in progress, and what is known of those that have ended. A second
 * attempt is in progress only while the first one makes no progress.
 */
final class CallAttempts {
  private final List<Attempt> running = new ArrayList<>(2);
  private final Set<String> tried = new HashSet<>();
  private final Set<String> left = new HashSet<>();

  /** The targets that were reached on this entry's own paths only. */
  private final Map<String, FleetInstance> directTargets = new LinkedHashMap<>();

  private int possibleRuns;
  private int refusals;
  private int sends;

  void started(Attempt a) {
    sends++;
    tried.add(a.target().id());
    if (a.isDirect()) {
      directTargets.put(a.target().id(), a.target());
    } else {
      directTargets.remove(a.target().id());
    }
    running.add(a);
  }

  void ended(Attempt a) {
    running.remove(a);
  }

  /** Records that an attempt has ended that certainly did not run. */
  void refused() {
    refusals++;
  }

  /** Records that an attempt has ended that may have run, or has run in part. */
  void possiblyRan() {
    possibleRuns++;
  }

  /** Ends an attempt that might have answered. */
  void leave(Attempt a) {
    left.add(a.target().id());
    possibleRuns++;
    a.stop();
  }

  /** Allows another attempt at an instance. */
  void retryAt(String instance) {
    tried.remove(instance);
  }

  /** Returns the instances that were tried on this entry's own paths only. */
  List<FleetInstance> directTargets() {
    return List.copyOf(directTargets.values());
  }

  /** Returns the attempts in progress, a copy that does not change when they end. */
  List<Attempt> running() {
    return List.copyOf(running);
  }

  boolean isRunning() {
    return !running.isEmpty();
  }

  /** Returns the number of attempts that may have run and have ended. */
  int possibleRuns() {
    return possibleRuns;
  }

  int refusals() {
    return refusals;
  }

  /** Returns the number of attempts that were started. */
  int sends() {
    return sends;
  }

  /** Returns the identifiers of the instances that must not receive the request again. */
  Set<String> tried() {
    return tried;
  }

  /** Returns the identifiers of the instances whose attempts this entry has ended. */
  Set<String> left() {
    return left;
  }
}
