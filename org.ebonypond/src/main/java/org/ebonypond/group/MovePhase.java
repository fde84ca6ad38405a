package org.ebonypond.group;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.document.ModelSpec;

/**
 * Carries out planned moves: groups that no longer match the document or have a leaving member. The
 * new group forms before the old one drains where spares allow, else one group of a model at a
 * time.
 */
final class MovePhase {
  private final PlacementPolicy policy;
  private final PlannerSettings settings;
  private final GroupClock clock;

  MovePhase(PlacementPolicy policy, PlannerSettings settings, GroupClock clock) {
    this.policy = policy;
    this.settings = settings;
    this.clock = clock;
  }

  void plan(PlanContext c) {
    int budget = settings.maxMovesInFlight();
    for (Slot s : c.slots.values()) {
      if (!s.stale.isEmpty()) {
        budget -= s.forming + s.draining + (s.good.size() - s.ready());
      }
    }
    for (Slot s : c.slots.values()) {
      drainOverdue(c, s);
      drainReplaced(c, s);
      formForLeaving(c, s);
      budget = formForStale(c, s, budget);
    }
  }

  private void drainOverdue(PlanContext c, Slot s) {
    for (GroupRecord g : List.copyOf(s.leaving)) {
      if (clock.elapsed(g, "leaving", c.now) >= settings.leavingGraceMillis()) {
        c.giveUp(g);
        c.drain(g, "member leaves");
      }
    }
  }

  private static void drainReplaced(PlanContext c, Slot s) {
    List<GroupRecord> order = new ArrayList<>(s.leaving);
    order.addAll(s.stale);
    for (GroupRecord g : order) {
      if (s.surplus() <= 0) {
        return;
      }
      c.giveUp(g);
      c.drain(g, "replaced");
    }
  }

  private void formForLeaving(PlanContext c, Slot s) {
    int wanted = Math.min(s.leaving.size(), s.desired - s.good.size() - s.forming);
    while (wanted > 0 && c.place(s, policy, "member leaves")) {
      wanted--;
    }
  }

  private int formForStale(PlanContext c, Slot s, int budget) {
    int left = budget;
    int wanted = Math.min(s.stale.size(), s.desired - s.good.size() - s.forming);
    while (wanted > 0 && left > 0) {
      if (!c.place(s, policy, "document changed")) {
        drainInPlace(c, s);
        return left;
      }
      wanted--;
      left--;
    }
    return left;
  }

  /** Without spares, frees one group's instances while nothing else of the model moves. */
  private static void drainInPlace(PlanContext c, Slot s) {
    ModelSpec m = s.spec;
    if (m == null || s.totals.moving > 0) {
      return;
    }
    for (GroupRecord g : s.stale) {
      if (reachable(c, s, g, m) >= m.instancesPerGroup()) {
        s.totals.moving++;
        c.giveUp(g);
        c.drain(g, "document changed and no spare");
        return;
      }
    }
  }

  /** Returns how many instances the domain of a group has free once all its stale groups went. */
  private static int reachable(PlanContext c, Slot s, GroupRecord g, ModelSpec m) {
    int sum = c.pool(g.zone(), g.domain(), m.engineKind()).free();
    for (GroupRecord o : s.stale) {
      sum += o.domain().equals(g.domain()) ? o.members().size() : 0;
    }
    return sum;
  }
}
