package org.ebonypond.group;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.document.ModelSpec;

/**
 * Replaces groups that no longer match the document or have a leaving member. If there are enough
 * spares, the new group forms before the old one drains; otherwise one group of a model is replaced
 * at a time.
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
    for (ModelZone s : c.modelZones.values()) {
      if (!s.stale.isEmpty()) {
        budget -= s.forming + s.draining + (s.matching.size() - s.ready());
      }
    }
    for (ModelZone s : c.modelZones.values()) {
      drainOverdue(c, s);
      drainReplaced(c, s);
      formForLeaving(c, s);
      budget = formForStale(c, s, budget);
    }
  }

  private void drainOverdue(PlanContext c, ModelZone s) {
    for (GroupRecord g : List.copyOf(s.leaving)) {
      if (clock.elapsed(g, "leaving", c.now) >= settings.leavingGraceMillis()) {
        c.retire(g);
        c.drain(g, "member leaves");
      }
    }
  }

  private static void drainReplaced(PlanContext c, ModelZone s) {
    List<GroupRecord> candidates = new ArrayList<>(s.leaving);
    candidates.addAll(s.stale);
    for (GroupRecord g : candidates) {
      if (s.surplus() <= 0) {
        return;
      }
      c.retire(g);
      c.drain(g, "replaced");
    }
  }

  private void formForLeaving(PlanContext c, ModelZone s) {
    int wanted = Math.min(s.leaving.size(), s.desired - s.matching.size() - s.forming);
    while (wanted > 0 && c.place(s, policy, "member leaves")) {
      wanted--;
    }
  }

  private int formForStale(PlanContext c, ModelZone s, int budget) {
    int remaining = budget;
    int wanted = Math.min(s.stale.size(), s.desired - s.matching.size() - s.forming);
    while (wanted > 0 && remaining > 0) {
      if (!c.place(s, policy, "document changed")) {
        drainInPlace(c, s);
        return remaining;
      }
      wanted--;
      remaining--;
    }
    return remaining;
  }

  /**
   * Without spares, drains one stale group of a model unless another change of the model is in
   * progress.
   */
  private static void drainInPlace(PlanContext c, ModelZone s) {
    ModelSpec m = s.spec;
    if (m == null || s.totals.inTransition > 0) {
      return;
    }
    for (GroupRecord g : s.stale) {
      if (availableAfterDrain(c, s, g, m) >= m.instancesPerGroup()) {
        s.totals.inTransition++;
        c.retire(g);
        c.drain(g, "document changed and no spare");
        return;
      }
    }
  }

  /**
   * Returns the number of free instances in the domain of a group after its stale groups dissolve.
   */
  private static int availableAfterDrain(PlanContext c, ModelZone s, GroupRecord g, ModelSpec m) {
    int sum = c.pool(g.zone(), g.domain(), m.engineKind()).free();
    for (GroupRecord o : s.stale) {
      sum += o.domain().equals(g.domain()) ? o.members().size() : 0;
    }
    return sum;
  }
}
