package org.ebonypond.group;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceRecord;

/**
 * Counts how often each instance was registered anew and keeps flapping instances out of groups for
 * a growing time. Soft state: a new leader starts without history.
 */
final class FlapTracker {
  /** One restart is normal: 3,200 instances restart or are replaced per day. */
  private static final int TOLERATED = 1;

  private static final int MAX_SHIFT = 20;

  private final PlannerSettings settings;
  private final Map<String, History> histories = new HashMap<>();
  private Map<String, InstanceRecord> seen = Map.of();

  private static final class History {
    int restarts;
    long last;
    long until;
  }

  FlapTracker(PlannerSettings settings) {
    this.settings = settings;
  }

  /** Notes the registrations since the last call. */
  void observe(ControlView view, long now) {
    Map<String, InstanceRecord> current = view.instances();
    if (current == seen) {
      return;
    }
    for (InstanceRecord r : current.values()) {
      InstanceRecord old = seen.get(r.instance());
      if (old != null && old.registeredIndex() != r.registeredIndex()) {
        restarted(r.instance(), now);
      }
    }
    histories.keySet().removeIf(name -> !current.containsKey(name));
    seen = current;
  }

  private void restarted(String instance, long now) {
    History h = histories.computeIfAbsent(instance, k -> new History());
    if (now - h.last >= settings.flapWindowMillis()) {
      h.restarts = 0;
    }
    h.restarts++;
    h.last = now;
    int excess = h.restarts - TOLERATED;
    if (excess > 0) {
      long delay = settings.quarantineMillis() << Math.min(excess - 1, MAX_SHIFT);
      h.until = now + Math.min(delay, settings.maxQuarantineMillis());
    }
  }

  boolean isQuarantined(String instance, long now) {
    History h = histories.get(instance);
    return h != null && now < h.until;
  }
}
