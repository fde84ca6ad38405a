package org.ebonypond.group;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceRecord;

/**
 * Counts how often each instance was registered again and quarantines flapping instances with
 * exponential backoff. Soft state: a new leader starts without history.
 */
final class FlapTracker {
  /** One restart is normal: 3,200 instances restart or are replaced per day. */
  private static final int NORMAL_RESTARTS = 1;

  private static final int MAX_SHIFT = 20;

  private final PlannerSettings settings;
  private final Map<String, History> histories = new HashMap<>();
  private Map<String, InstanceRecord> lastInstances = Map.of();

  private static final class History {
    int restarts;
    long lastRestart;
    long quarantinedUntil;
  }

  FlapTracker(PlannerSettings settings) {
    this.settings = settings;
  }

  /** Records the registrations since the last call. */
  void observe(ControlView view, long now) {
    Map<String, InstanceRecord> current = view.instances();
    if (current == lastInstances) {
      return;
    }
    for (InstanceRecord r : current.values()) {
      InstanceRecord old = lastInstances.get(r.instance());
      if (old != null && old.registeredIndex() != r.registeredIndex()) {
        recordRestart(r.instance(), now);
      }
    }
    histories.keySet().removeIf(name -> !current.containsKey(name));
    lastInstances = current;
  }

  private void recordRestart(String instance, long now) {
    History h = histories.computeIfAbsent(instance, k -> new History());
    if (now - h.lastRestart >= settings.flapWindowMillis()) {
      h.restarts = 0;
    }
    h.restarts++;
    h.lastRestart = now;
    int excess = h.restarts - NORMAL_RESTARTS;
    if (excess > 0) {
      long delay = settings.quarantineMillis() << Math.min(excess - 1, MAX_SHIFT);
      h.quarantinedUntil = now + Math.min(delay, settings.maxQuarantineMillis());
    }
  }

  boolean isQuarantined(String instance, long now) {
    History h = histories.get(instance);
    return h != null && now < h.quarantinedUntil;
  }
}
