package org.ebonypond.group;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The state that the scheduler keeps for one engine instance. At most one order or read is in
 * flight at a time, so that a state that was read reflects every earlier order.
 */
final class TrackedEngine {
  /** The state read after the last order, or null if unknown. */
  @Nullable EngineState state;

  /** The adapters of the last order; empty after an unload. */
  List<String> adapters = List.of();

  /**
   * The fencing number of that order, or 0 after an unload. A state with this number confirms that
   * the adapters are loaded.
   */
  long adaptersFencing;

  long stateReadAt;
  long inFlightToken;
  boolean inFlightIsOrder;
  long sentAt;
  int failures;

  /** The time before which nothing is sent, because the last attempt failed. */
  long notBefore;

  /** The time since which the instance belongs to no group, or -1 if it belongs to one. */
  long unassignedSince = -1;

  boolean isInFlight() {
    return inFlightToken != 0;
  }

  void begin(long token, boolean isOrder, long now) {
    inFlightToken = token;
    inFlightIsOrder = isOrder;
    sentAt = now;
    if (isOrder) {
      state = null;
    }
  }

  void end() {
    inFlightToken = 0;
  }

  void failed(long now, SchedulerSettings s) {
    end();
    long delay = s.backoffMillis() << Math.min(failures, 10);
    failures++;
    notBefore = now + Math.min(delay, s.maxBackoffMillis());
  }

  void succeeded() {
    end();
    failures = 0;
  }
}
