package org.ebonypond.group;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;

/**
 * Measures how long each group has been in a condition. Soft state: a new leader starts at zero.
 */
final class GroupClock {
  private final Map<String, Start> starts = new HashMap<>();

  private record Start(String condition, long epoch, long at) {}

  /**
   * Returns how long a group has been in a condition at its current epoch, in milliseconds.
   *
   * @param condition the condition; a different one restarts the measurement
   */
  long elapsed(GroupRecord g, String condition, long now) {
    return now - since(g, condition, now);
  }

  /** Returns the time at which a group entered a condition at its current epoch. */
  long since(GroupRecord g, String condition, long now) {
    Start s = starts.get(g.group());
    if (s == null || s.epoch() != g.epoch() || !s.condition().equals(condition)) {
      s = new Start(condition, g.epoch(), now);
      starts.put(g.group(), s);
    }
    return s.at();
  }

  void retain(ControlView view) {
    starts.keySet().removeIf(name -> !view.groups().containsKey(name));
  }

  void clear() {
    starts.clear();
  }
}
