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

/** Places missing groups, fair over models, then over zones, then by falling size. */
final class PlacementPhase {
  private final PlacementPolicy policy;
  private final EventSink events;
  private final Map<Slot.Key, String> reported = new HashMap<>();

  private record Need(Slot slot, double modelRatio, double ratio) {
    /** Returns the size of a group; large groups come first, because small ones fit more often. */
    int size() {
      return slot.spec == null ? 0 : slot.spec.instancesPerGroup();
    }

    static Need of(Slot s) {
      return new Need(s, s.modelRatio(), s.ratio());
    }
  }

  private static final Comparator<Need> FAIR =
      Comparator.comparingDouble(Need::modelRatio)
          .thenComparingDouble(Need::ratio)
          .thenComparingInt(n -> -n.size())
          .thenComparing(n -> n.slot().key.model())
          .thenComparing(n -> n.slot().key.zone());

  PlacementPhase(PlacementPolicy policy, EventSink events) {
    this.policy = policy;
    this.events = events;
  }

  void plan(PlanContext c) {
    PriorityQueue<Need> needs = new PriorityQueue<>(FAIR);
    for (Slot s : c.slots.values()) {
      if (s.placed() < s.desired) {
        needs.add(Need.of(s));
      }
    }
    Map<Slot.Key, String> blocked = new HashMap<>();
    while (!needs.isEmpty()) {
      Need n = needs.remove();
      Need current = Need.of(n.slot());
      if (FAIR.compare(n, current) != 0) {
        // Another placement of the model changed the order; ratios only rise within a plan.
        needs.add(current);
        continue;
      }
      Slot s = n.slot();
      if (!c.place(s, policy, "missing group")) {
        notPlaced(c, s, blocked);
      } else if (s.placed() < s.desired) {
        needs.add(Need.of(s));
      }
    }
    reported.keySet().retainAll(blocked.keySet());
  }

  private void notPlaced(PlanContext c, Slot s, Map<Slot.Key, String> blocked) {
    ModelSpec m = s.spec;
    if (m == null) {
      return;
    }
    String reason =
        String.format(
            "no fabric domain has %d free instances of engine %s; the most is %d",
            m.instancesPerGroup(), m.engineKind(), c.mostFree(m, s.key.zone()));
    int missing = s.desired - s.placed();
    String text = missing + " " + reason;
    blocked.put(s.key, text);
    if (s.draining > 0 || text.equals(reported.put(s.key, text))) {
      return;
    }
    events.emit(
        EventCode.GROUP_NOT_PLACED,
        "model/" + s.key.model(),
        Map.of("zone", s.key.zone(), "missing", String.valueOf(missing), "reason", reason));
    if (policy.takesFromOthers() && s.totals.placed == 0) {
      take(c, s, m);
    }
  }

  /** Drains a group of a model that keeps others, so that a model without any group gets one. */
  private static void take(PlanContext c, Slot needy, ModelSpec m) {
    GroupRecord best = null;
    int bestReady = 1;
    for (Slot s : c.slots.values()) {
      if (!s.key.zone().equals(needy.key.zone())) {
        continue;
      }
      if (s.draining > 0) {
        return;
      }
      if (s.totals.ready > bestReady) {
        GroupRecord g = takeable(c, s, m);
        best = g == null ? best : g;
        bestReady = g == null ? bestReady : s.totals.ready;
      }
    }
    if (best != null) {
      c.giveUp(best);
      c.drain(best, "instances for model " + m.name());
    }
  }

  private static @Nullable GroupRecord takeable(PlanContext c, Slot s, ModelSpec m) {
    ModelSpec d = s.spec;
    if (d == null || !d.engineKind().equals(m.engineKind())) {
      return null;
    }
    for (GroupRecord g : s.good) {
      int room = c.pool(g.zone(), g.domain(), m.engineKind()).free() + g.members().size();
      if (!c.isBusy(g) && g.state() == GroupState.READY && room >= m.instancesPerGroup()) {
        return g;
      }
    }
    return null;
  }
}
