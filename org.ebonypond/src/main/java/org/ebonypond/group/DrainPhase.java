package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;

/** Dissolves groups that have drained or are obsolete, and removes surplus groups. */
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
      String reason = endReason(c, g);
      if (!reason.isEmpty()) {
        c.dissolve(g, reason);
      }
    }
    c.slots.values().forEach(s -> removeSurplus(c, s));
  }

  private String endReason(PlanContext c, GroupRecord g) {
    if (!c.isWhole(g)) {
      return "member lost";
    }
    long since = clock.since(g, "draining", c.now);
    if (g.reason().equals(GroupRecord.ZONE_OUT)) {
      return c.now - since >= settings.zoneHoldMillis() ? "zone is out" : "";
    }
    long earliest = since + settings.minDrainMillis();
    InstanceObservation o = c.observations.get(g.members().get(0).instance());
    if (o != null && o.heardMillis() >= earliest && o.active() == 0) {
      return "drained";
    }
    long limit = c.document.limits().defaultDeadlineMillis() + settings.drainMarginMillis();
    return c.now - since >= limit ? "drain time is over" : "";
  }

  private static void removeSurplus(PlanContext c, Slot s) {
    int surplus = s.good.size() - s.desired;
    if (surplus <= 0) {
      return;
    }
    List<GroupRecord> order = new ArrayList<>(s.good);
    order.sort(
        Comparator.comparingInt(DrainPhase::worth)
            .thenComparing(Comparator.comparingLong(GroupRecord::epoch).reversed()));
    for (GroupRecord g : order.subList(0, surplus)) {
      c.giveUp(g);
      if (g.state() == GroupState.READY) {
        c.drain(g, "surplus");
      } else {
        c.dissolve(g, "surplus");
      }
    }
  }

  private static int worth(GroupRecord g) {
    if (g.state() == GroupState.DOWN) {
      return 0;
    }
    return g.state() == GroupState.LOADING ? 1 : 2;
  }
}
