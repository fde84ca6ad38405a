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
    for (ModelZone z : c.modelZones.values()) {
      if (!z.stale.isEmpty()) {
        budget -= z.forming + z.draining + (z.matching.size() - z.ready());
      }
    }
    for (ModelZone z : c.modelZones.values()) {
      drainOverdue(c, z);
      drainReplaced(c, z);
      formForLeaving(c, z);
      budget = formForStale(c, z, budget);
    }
  }

  private void drainOverdue(PlanContext c, ModelZone z) {
    for (GroupRecord g : List.copyOf(z.leaving)) {
      if (clock.elapsed(g, "leaving", c.now) >= settings.leavingGraceMillis()) {
        c.retire(g);
        c.drain(g, "member leaves");
      }
    }
  }

  private static void drainReplaced(PlanContext c, ModelZone z) {
    List<GroupRecord> candidates = new ArrayList<>(z.leaving);
    candidates.addAll(z.stale);
    for (GroupRecord g : candidates) {
      if (z.surplus() <= 0) {
        return;
      }
      c.retire(g);
      c.drain(g, "replaced");
    }
  }

  private void formForLeaving(PlanContext c, ModelZone z) {
    int wanted = Math.min(z.leaving.size(), z.desired - z.matching.size() - z.forming);
    while (wanted > 0 && c.place(z, policy, "member leaves")) {
      wanted--;
    }
  }

  private int formForStale(PlanContext c, ModelZone z, int budget) {
    int remaining = budget;
    int wanted = Math.min(z.stale.size(), z.desired - z.matching.size() - z.forming);
    while (wanted > 0 && remaining > 0) {
      if (!c.place(z, policy, "document changed")) {
        drainInPlace(c, z);
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
  private static void drainInPlace(PlanContext c, ModelZone z) {
    ModelSpec m = z.spec;
    if (m == null || z.totals.inTransition > 0) {
      return;
    }
    for (GroupRecord g : z.stale) {
      if (availableAfterDrain(c, z, g, m) >= m.instancesPerGroup()) {
        z.totals.inTransition++;
        c.retire(g);
        c.drain(g, "document changed and no spare");
        return;
      }
    }
  }

  /**
   * Returns the number of free instances in the domain of a group after its stale groups dissolve.
   */
  private static int availableAfterDrain(PlanContext c, ModelZone z, GroupRecord g, ModelSpec m) {
    int sum = c.pool(g.zone(), g.domain(), m.engineKind()).free();
    for (GroupRecord stale : z.stale) {
      sum += stale.domain().equals(g.domain()) ? stale.members().size() : 0;
    }
    return sum;
  }
}
