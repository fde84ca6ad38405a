package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;

/** Dissolves drained and obsolete groups, and removes surplus groups. */
final class DrainPhase {
  private final PlannerSettings settings;
  private final GroupClock clock;

  DrainPhase(PlannerSettings settings, GroupClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  void plan(PlanContext c) {
    c.obsolete.forEach(g -> c.dissolve(g, "not in the document"));
    for (GroupRecord g : c.draining) {
      String reason = dissolveReason(c, g);
      if (!reason.isEmpty()) {
        c.dissolve(g, reason);
      }
    }
    c.modelZones.values().forEach(z -> removeSurplus(c, z));
  }

  private String dissolveReason(PlanContext c, GroupRecord g) {
    if (!c.isComplete(g)) {
      return "member lost";
    }
    long since = clock.since(g, "draining", c.now);
    if (g.reason().equals(GroupRecord.ZONE_OUT)) {
      return c.now - since >= settings.zoneHoldMillis() ? "zone is out" : "";
    }
    long earliest = since + settings.minDrainMillis();
    InstanceObservation o = c.observations.get(g.members().get(0).instance());
    if (o != null && o.receivedMillis() >= earliest && o.active() == 0) {
      return "drained";
    }
    long limit = c.document.limits().defaultDeadlineMillis() + settings.drainMarginMillis();
    return c.now - since >= limit ? "drain time is over" : "";
  }

  private static void removeSurplus(PlanContext c, ModelZone z) {
    int surplus = z.matching.size() - z.desired;
    if (surplus <= 0) {
      return;
    }
    List<GroupRecord> candidates = new ArrayList<>(z.matching);
    candidates.sort(
        Comparator.comparingInt(DrainPhase::removalRank)
            .thenComparing(Comparator.comparingLong(GroupRecord::epoch).reversed()));
    for (GroupRecord g : candidates.subList(0, surplus)) {
      c.retire(g);
      if (g.state() == GroupState.READY) {
        c.drain(g, "surplus");
      } else {
        c.dissolve(g, "surplus");
      }
    }
  }

  private static int removalRank(GroupRecord g) {
    if (g.state() == GroupState.DOWN) {
      return 0;
    }
    return g.state() == GroupState.LOADING ? 1 : 2;
  }
}
