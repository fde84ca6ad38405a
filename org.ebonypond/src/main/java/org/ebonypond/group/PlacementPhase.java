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

  private record Need(ModelZone modelZone, double modelRatio, double ratio) {
    /** Returns the group size; large groups come first, because small ones are easier to place. */
    int size() {
      return modelZone.spec == null ? 0 : modelZone.spec.instancesPerGroup();
    }

    static Need of(ModelZone s) {
      return new Need(s, s.modelRatio(), s.ratio());
    }
  }

  private static final Comparator<Need> BY_FAIRNESS =
      Comparator.comparingDouble(Need::modelRatio)
          .thenComparingDouble(Need::ratio)
          .thenComparingInt(n -> -n.size())
          .thenComparing(n -> n.modelZone().key.model())
          .thenComparing(n -> n.modelZone().key.zone());

  PlacementPhase(PlacementPolicy policy, EventSink events) {
    this.policy = policy;
    this.events = events;
  }

  void plan(PlanContext c) {
    PriorityQueue<Need> needs = new PriorityQueue<>(BY_FAIRNESS);
    for (ModelZone s : c.modelZones.values()) {
      if (s.placed() < s.desired) {
        needs.add(Need.of(s));
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
      ModelZone s = n.modelZone();
      if (!c.place(s, policy, "missing group")) {
        reportNotPlaced(c, s, unplaced);
      } else if (s.placed() < s.desired) {
        needs.add(Need.of(s));
      }
    }
    reported.keySet().retainAll(unplaced.keySet());
  }

  private void reportNotPlaced(PlanContext c, ModelZone s, Map<ModelZone.Key, String> unplaced) {
    ModelSpec m = s.spec;
    if (m == null) {
      return;
    }
    String reason =
        String.format(
            "no fabric domain has %d free instances of engine %s; the most is %d",
            m.instancesPerGroup(), m.engineKind(), c.maxFree(m, s.key.zone()));
    int missing = s.desired - s.placed();
    String text = missing + " " + reason;
    unplaced.put(s.key, text);
    if (s.draining > 0 || text.equals(reported.put(s.key, text))) {
      return;
    }
    events.emit(
        EventCode.GROUP_NOT_PLACED,
        "model/" + s.key.model(),
        Map.of("zone", s.key.zone(), "missing", String.valueOf(missing), "reason", reason));
    if (policy.allowsPreemption() && s.totals.placed == 0) {
      preempt(c, s, m);
    }
  }

  /**
   * Drains a group of a model with several ready groups, so that a model without any group gets
   * one.
   */
  private static void preempt(PlanContext c, ModelZone target, ModelSpec m) {
    GroupRecord best = null;
    int bestReady = 1;
    for (ModelZone s : c.modelZones.values()) {
      if (!s.key.zone().equals(target.key.zone())) {
        continue;
      }
      if (s.draining > 0) {
        return;
      }
      if (s.totals.ready > bestReady) {
        GroupRecord g = preemptible(c, s, m);
        best = g == null ? best : g;
        bestReady = g == null ? bestReady : s.totals.ready;
      }
    }
    if (best != null) {
      c.retire(best);
      c.drain(best, "instances for model " + m.name());
    }
  }

  private static @Nullable GroupRecord preemptible(PlanContext c, ModelZone s, ModelSpec m) {
    ModelSpec d = s.spec;
    if (d == null || !d.engineKind().equals(m.engineKind())) {
      return null;
    }
    for (GroupRecord g : s.matching) {
      int available = c.pool(g.zone(), g.domain(), m.engineKind()).free() + g.members().size();
      if (!c.isBusy(g) && g.state() == GroupState.READY && available >= m.instancesPerGroup()) {
        return g;
      }
    }
    return null;
  }
}
