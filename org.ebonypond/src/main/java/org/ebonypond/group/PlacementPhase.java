package org.ebonypond.group;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/** Places missing groups: fairly over models, then fairly over zones, then by descending size. */
final class PlacementPhase {
  private final PlacementPolicy policy;
  private final EventSink events;
  private final Map<ModelZone.Key, String> reported = new HashMap<>();

  private record Need(ModelZone modelZone, double modelRatio, double zoneRatio) {
    /** Returns the group size; large groups come first, because small ones are easier to place. */
    int size() {
      return modelZone.spec == null ? 0 : modelZone.spec.instancesPerGroup();
    }

    static Need of(ModelZone z) {
      return new Need(z, z.modelRatio(), z.zoneRatio());
    }
  }

  private static final Comparator<Need> BY_FAIRNESS =
      Comparator.comparingDouble(Need::modelRatio)
          .thenComparingDouble(Need::zoneRatio)
          .thenComparingInt(n -> -n.size())
          .thenComparing(n -> n.modelZone().key.model())
          .thenComparing(n -> n.modelZone().key.zone());

  PlacementPhase(PlacementPolicy policy, EventSink events) {
    this.policy = policy;
    this.events = events;
  }

  void plan(PlanContext c) {
    PriorityQueue<Need> needs = new PriorityQueue<>(BY_FAIRNESS);
    for (ModelZone z : c.modelZones.values()) {
      if (z.placed() < z.desired) {
        needs.add(Need.of(z));
      }
    }
    Map<ModelZone.Key, String> unplaced = new HashMap<>();
    while (!needs.isEmpty()) {
      Need n = needs.remove();
      Need current = Need.of(n.modelZone());
      if (BY_FAIRNESS.compare(n, current) != 0) {
        // Another placement of the model changed the ratios, which only increase within a plan.
        needs.add(current);
        continue;
      }
      ModelZone z = n.modelZone();
      if (!c.place(z, policy, "missing group")) {
        reportNotPlaced(c, z, unplaced);
      } else if (z.placed() < z.desired) {
        needs.add(Need.of(z));
      }
    }
    reported.keySet().retainAll(unplaced.keySet());
  }

  private void reportNotPlaced(PlanContext c, ModelZone z, Map<ModelZone.Key, String> unplaced) {
    ModelSpec m = z.spec;
    if (m == null) {
      return;
    }
    String reason =
        String.format(
            "no fabric domain has %d free instances of engine %s; at most %d are free",
            m.instancesPerGroup(), m.engineKind(), c.maxFree(m, z.key.zone()));
    int missing = z.desired - z.placed();
    String text = missing + " " + reason;
    unplaced.put(z.key, text);
    if (z.draining > 0 || text.equals(reported.put(z.key, text))) {
      return;
    }
    events.emit(
        EventCode.GROUP_NOT_PLACED,
        "model/" + z.key.model(),
        Map.of("zone", z.key.zone(), "missing", String.valueOf(missing), "reason", reason));
    if (policy.allowsPreemption() && z.totals.placed == 0) {
      preempt(c, z, m);
    }
  }

  /**
   * Drains a group of a model with several ready groups, so that a model without any group gets
   * one.
   */
  private static void preempt(PlanContext c, ModelZone target, ModelSpec m) {
    GroupRecord best = null;
    int bestReady = 1;
    for (ModelZone z : c.modelZones.values()) {
      if (!z.key.zone().equals(target.key.zone())) {
        continue;
      }
      if (z.draining > 0) {
        return;
      }
      if (z.totals.ready > bestReady) {
        GroupRecord g = preemptible(c, z, m);
        best = g == null ? best : g;
        bestReady = g == null ? bestReady : z.totals.ready;
      }
    }
    if (best != null) {
      c.retire(best);
      c.drain(best, "instances for model " + m.name());
    }
  }

  private static @Nullable GroupRecord preemptible(PlanContext c, ModelZone z, ModelSpec m) {
    ModelSpec spec = z.spec;
    if (spec == null || !spec.engineKind().equals(m.engineKind())) {
      return null;
    }
    for (GroupRecord g : z.matching) {
      int available = c.pool(g.zone(), g.domain(), m.engineKind()).free() + g.members().size();
      if (!c.isBusy(g) && g.state() == GroupState.READY && available >= m.instancesPerGroup()) {
        return g;
      }
    }
    return null;
  }
}
