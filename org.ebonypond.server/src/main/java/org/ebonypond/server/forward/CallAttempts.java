package org.ebonypond.server.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ebonypond.fleet.FleetInstance;

/**
 * The attempts of one call: those in progress, and what is known of those that have ended. A second
 * attempt is in progress only while the first one makes no progress.
 */
final class CallAttempts {
  private final List<Attempt> running = new ArrayList<>(2);
  private final Set<String> tried = new HashSet<>();

  /** The instances whose attempts this entry has ended, for the log. */
  private final Set<String> left = new HashSet<>();

  /** The instances that run the request, or may have run it. */
  private final Set<String> used = new HashSet<>();

  /** The instances with an ended attempt that may have run. */
  private final Set<String> ran = new HashSet<>();

  /** The instances whose last attempt might have gone on when this entry ended it. */
  private final Set<String> returnable = new HashSet<>();

  /** When instances last refused the request or could not be reached, in milliseconds. */
  private final Map<String, Long> refusedAt = new HashMap<>();

  /** The targets that were reached on this entry's own paths only. */
  private final Map<String, FleetInstance> directTargets = new LinkedHashMap<>();

  private int refusals;
  private int sends;

  void started(Attempt a) {
    sends++;
    tried.add(a.target().id());
    used.add(a.target().id());
    returnable.remove(a.target().id());
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

  /** Records that an attempt at an instance was refused, and certainly did not run. */
  void refused(String instance) {
    refusals++;
    notRun(instance);
  }

  /** Records that an attempt at an instance has ended that certainly did not run. */
  void notRun(String instance) {
    if (ran.contains(instance)) {
      // Only an instance that might have gone on is asked again after it has run the request.
      returnable.add(instance);
    } else {
      used.remove(instance);
    }
  }

  /** Records that an attempt at an instance has ended that may have run, or has run in part. */
  void possiblyRan(String instance) {
    ran.add(instance);
  }

  /** Ends an attempt that might have answered. */
  void leave(Attempt a) {
    left.add(a.target().id());
    returnable.add(a.target().id());
    possiblyRan(a.target().id());
    a.stop();
  }

  /** Allows another attempt at an instance. */
  void retryAt(String instance) {
    tried.remove(instance);
  }

  /** Allows another attempt at an instance that may go on, on another path than before. */
  void retryOnOtherPath(String instance) {
    tried.remove(instance);
    if (ran.contains(instance)) {
      returnable.add(instance);
    }
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

  /** Returns whether an ended attempt may have run. */
  boolean mayHaveRun() {
    return !ran.isEmpty();
  }

  /**
   * Returns whether there may be another attempt.
   *
   * @param maxInstances the number of instances that may run the request
   */
  boolean mayRunAgain(int maxInstances) {
    return used.size() < maxInstances || !returnable.isEmpty();
  }

  /**
   * Returns whether the next attempt may be at an instance.
   *
   * @param maxInstances the number of instances that may run the request
   */
  boolean mayRunAt(String instance, int maxInstances) {
    return returnable.contains(instance)
        || (used.size() < maxInstances && !tried.contains(instance));
  }

  int refusals() {
    return refusals;
  }

  /** Records that an instance refused the request or could not be reached. */
  void pause(String instance, long now) {
    refusedAt.put(instance, now);
  }

  /** Returns the instances that refused the request within a time, in milliseconds. */
  Set<String> refusedWithin(long millis, long now) {
    return refusedAt.entrySet().stream()
        .filter(e -> now - e.getValue() < millis)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the number of attempts that were started. */
  int sends() {
    return sends;
  }

  /**
   * Returns the identifiers of the instances that received the request, but for those that may be
   * asked again.
   */
  Set<String> tried() {
    return tried;
  }

  /** Returns the identifiers of the instances whose attempts this entry has ended. */
  Set<String> left() {
    return left;
  }
}
