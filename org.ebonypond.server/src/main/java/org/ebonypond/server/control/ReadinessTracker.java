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
 * Tracks since when each plain service instance or group has been up, by this replica's clock.
 * Every control replica derives this from its views, so that a new leader need not treat warm
 * backend servers as starting. After a restart, the times start at the first view and may be too
 * late; ceilings then rise later than necessary, which is safe. Not thread-safe.
 */
public final class ReadinessTracker {
  private final Map<ShareTarget, Long> upSince = new HashMap<>();

  /**
   * Updates the targets from a view.
   *
   * @param view the view
   * @param nowMillis the monotonic time in milliseconds
   */
  public void onView(ControlView view, long nowMillis) {
    Map<ShareTarget, Long> next = new HashMap<>();
    for (GroupRecord g : view.groups().values()) {
      if (g.state() == GroupState.READY) {
        ShareTarget t = ShareTargets.of(g);
        next.put(t, upSince.getOrDefault(t, nowMillis));
      }
    }
    for (InstanceRecord i : view.instances().values()) {
      if (i.kind() == InstanceKind.SERVICE && i.status() != InstanceStatus.DOWN) {
        ShareTarget t = ShareTargets.of(i);
        next.put(t, upSince.getOrDefault(t, nowMillis));
      }
    }
    upSince.clear();
    upSince.putAll(next);
  }

  /** Returns the time since when each target that is up has been up. */
  public Map<ShareTarget, Long> upSince() {
    return Map.copyOf(upSince);
  }
}
