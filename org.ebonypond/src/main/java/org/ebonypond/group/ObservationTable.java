package org.ebonypond.group;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;

/**
 * Keeps the last observation of each engine instance. An announcement names a group but no model,
 * so the model is kept after the group is dissolved as long as the same boot announces itself as
 * ready. Not thread-safe.
 */
public final class ObservationTable {
  private final Map<String, InstanceObservation> byInstance = new HashMap<>();

  /** Records an announcement that arrived at a time in milliseconds. */
  public void announced(InstanceAnnouncement a, ControlView view, long now) {
    InstanceObservation old = byInstance.get(a.instance());
    GroupRecord g = view.groups().get(a.group());
    String model = "";
    String version = "";
    if (a.status() == EngineStatus.READY && g != null) {
      model = g.model();
      version = g.version();
    } else if (a.status() == EngineStatus.READY && old != null && isSameBoot(old, a)) {
      model = old.model();
      version = old.version();
    }
    byInstance.put(
        a.instance(),
        new InstanceObservation(a.instance(), a.boot(), model, version, a.active(), now));
  }

  private static boolean isSameBoot(InstanceObservation old, InstanceAnnouncement a) {
    return old.boot().equals(a.boot());
  }

  /** Removes instances that are no longer registered. */
  public void retain(ControlView view) {
    byInstance.keySet().retainAll(view.instances().keySet());
  }

  /** Removes all observations when a term starts. */
  public void clear() {
    byInstance.clear();
  }

  /** Returns the observations by instance. */
  public Map<String, InstanceObservation> view() {
    return Collections.unmodifiableMap(byInstance);
  }
}
