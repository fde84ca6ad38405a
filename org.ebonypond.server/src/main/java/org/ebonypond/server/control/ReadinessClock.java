package org.ebonypond.server.control;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.lease.ShareTarget;

/**
 * Remembers since when each backend server or group has been up, on this process's clock. Every
 * process keeps one from the views that it sees, so that a new leader need not treat warm backend
 * servers as starting ones. A process that restarted counts from its first view, which is later
 * than the truth and therefore safe. Not thread-safe.
 */
public final class ReadinessClock {
  private final Map<ShareTarget, Long> since = new HashMap<>();

  /**
   * Takes a view.
   *
   * @param view the view
   * @param nowMillis the time
   */
  public void onView(ControlView view, long nowMillis) {
    Map<ShareTarget, Long> next = new HashMap<>();
    for (GroupRecord g : view.groups().values()) {
      if (g.state() == GroupState.READY) {
        ShareTarget t = ShareTargets.of(g);
        next.put(t, since.getOrDefault(t, nowMillis));
      }
    }
    for (InstanceRecord i : view.instances().values()) {
      if (i.kind() == InstanceKind.SERVICE && i.status() != InstanceStatus.DOWN) {
        ShareTarget t = ShareTargets.of(i);
        next.put(t, since.getOrDefault(t, nowMillis));
      }
    }
    since.clear();
    since.putAll(next);
  }

  /** Returns the targets that are up, with the time since when they have been. */
  public Map<ShareTarget, Long> targets() {
    return Map.copyOf(since);
  }
}
