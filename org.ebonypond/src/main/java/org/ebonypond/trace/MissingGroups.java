package org.ebonypond.trace;

import java.util.HashMap;
import java.util.Map;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;

/** Counts missing groups: declared groups that are not ready. */
public final class MissingGroups {
  private MissingGroups() {}

  /**
   * Returns the number of declared groups that are not ready, not counting availability zones out
   * of service.
   */
  public static int count(ControlView view) {
    ServiceDocument document = view.document();
    if (document == null) {
      return 0;
    }
    Map<String, Integer> ready = new HashMap<>();
    for (GroupRecord g : view.groups().values()) {
      if (g.state() == GroupState.READY) {
        ready.merge(g.model() + '/' + g.zone(), 1, Integer::sum);
      }
    }
    int sum = 0;
    for (ModelSpec m : document.models()) {
      for (String z : m.zones()) {
        int readyInZone = ready.getOrDefault(m.name() + '/' + z, 0);
        sum += view.zonesOut().contains(z) ? 0 : Math.max(0, m.groupsPerZone() - readyInZone);
      }
    }
    return sum;
  }
}
