package org.ebonypond.group;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;

/** Limits the number of groups that load concurrently. */
final class LoadSlots {
  private final SchedulerSettings settings;
  private final Map<String, Holder> holders = new HashMap<>();

  private record Holder(long epoch, long since) {}

  LoadSlots(SchedulerSettings settings) {
    this.settings = settings;
  }

  /** Acquires a load slot for a group unless it holds one; returns whether it may load. */
  boolean acquire(GroupRecord g, long now) {
    Holder h = holders.get(g.group());
    if (h != null && h.epoch() == g.epoch()) {
      return true;
    }
    long held =
        holders.values().stream().filter(o -> now - o.since() < settings.loadSlotMillis()).count();
    if (held >= settings.maxLoadingGroups()) {
      return false;
    }
    holders.put(g.group(), new Holder(g.epoch(), now));
    return true;
  }

  void retain(ControlView view) {
    holders
        .entrySet()
        .removeIf(
            e -> {
              GroupRecord g = view.groups().get(e.getKey());
              return g == null
                  || g.state() != GroupState.LOADING
                  || g.epoch() != e.getValue().epoch();
            });
  }

  void clear() {
    holders.clear();
  }
}
