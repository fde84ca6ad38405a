package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.group.PlacementPolicy.RepairCase;
import org.ebonypond.group.PlacementPolicy.RepairChoice;
import org.jspecify.annotations.Nullable;

/** Repairs incomplete groups, those of the models with the fewest ready groups first. */
final class RepairPhase {
  private final PlacementPolicy policy;
  private final PlannerSettings settings;
  private final GroupClock clock;

  RepairPhase(PlacementPolicy policy, PlannerSettings settings, GroupClock clock) {
    this.policy = policy;
    this.settings = settings;
    this.clock = clock;
  }

  void plan(PlanContext c) {
    List<GroupRecord> candidates = new ArrayList<>(c.incomplete);
    candidates.sort(
        Comparator.comparingInt((GroupRecord g) -> c.modelZone(g).totals.ready)
            .thenComparingInt(g -> missing(c, g).size())
            .thenComparing(GroupRecord::group));
    for (int i = 0; i < candidates.size(); i++) {
      GroupRecord g = candidates.get(i);
      ModelSpec m = c.modelZone(g).spec;
      if (m != null && !c.isBusy(g)) {
        repair(c, g, m, candidates.subList(i + 1, candidates.size()));
      }
    }
  }

  private static List<GroupMember> missing(PlanContext c, GroupRecord g) {
    return g.members().stream().filter(m -> !c.isUsable(g, m)).toList();
  }

  private void repair(PlanContext c, GroupRecord g, ModelSpec m, List<GroupRecord> later) {
    List<GroupMember> missing = missing(c, g);
    if (missing.isEmpty()) {
      readmitReturned(c, g);
      return;
    }
    DomainPool pool = c.pool(g.zone(), g.domain(), m.engineKind());
    GroupRecord donor = donor(c, g, later);
    int donatable = donor == null ? 0 : donor.members().size() - missing(c, donor).size();
    List<DomainPool> fit = c.fitting(m, g.zone());
    fit.remove(pool);
    DomainPool otherDomain = fit.isEmpty() ? null : policy.place(m, fit);
    RepairChoice choice =
        policy.repair(
            new RepairCase(
                missing.size(),
                pool.free(),
                donatable,
                otherDomain,
                canFormSmallerGroup(c, g, m, pool.free() + g.members().size() - missing.size()),
                clock.elapsed(g, "incomplete", c.now),
                settings.waitForReturnMillis()));
    execute(c, g, m, choice, missing, pool, donor, otherDomain);
  }

  /**
   * Returns whether instances of the domain could form a missing group smaller than the given one.
   */
  private static boolean canFormSmallerGroup(
      PlanContext c, GroupRecord g, ModelSpec m, int instances) {
    for (ModelZone z : c.modelZones.values()) {
      ModelSpec other = z.spec;
      boolean fits =
          other != null
              && z.key.zone().equals(g.zone())
              && other.engineKind().equals(m.engineKind())
              && other.instancesPerGroup() < m.instancesPerGroup()
              && other.instancesPerGroup() <= instances;
      if (fits && z.placed() < z.desired) {
        return true;
      }
    }
    return false;
  }

  private void execute(
      PlanContext c,
      GroupRecord g,
      ModelSpec m,
      RepairChoice choice,
      List<GroupMember> missing,
      DomainPool pool,
      @Nullable GroupRecord donor,
      @Nullable DomainPool otherDomain) {
    if (choice == RepairChoice.USE_SPARES) {
      // Each replacement changes the epoch, so only one is proposed at a time; the other spares
      // stay reserved for this group.
      List<GroupMember> spares = pool.take(missing.size(), g.model(), g.version());
      c.replace(g, missing.get(0).instance(), spares.get(0), "spare in the domain");
    } else if (choice == RepairChoice.MERGE && donor != null) {
      pool.take(pool.free(), g.model(), g.version());
      c.retire(donor);
      c.dissolve(donor, "members complete group " + g.group());
    } else if (choice == RepairChoice.MOVE && otherDomain != null) {
      c.retire(g);
      c.form(c.modelZone(g), m, otherDomain, "moved from domain " + g.domain());
      c.dissolve(g, "moved to another domain");
    } else if (choice == RepairChoice.DISSOLVE) {
      c.retire(g);
      c.dissolve(g, "members lost and no spare");
    }
  }

  /**
   * Readmits members that returned with a new boot, one at a time. If all members have their old
   * boot, replaces the first by itself, so that the group loads again.
   */
  private void readmitReturned(PlanContext c, GroupRecord g) {
    if (g.state() != GroupState.DOWN) {
      return;
    }
    GroupMember chosen = g.members().get(0);
    for (GroupMember m : g.members()) {
      InstanceRecord r = c.instance(m.instance());
      if (r != null && !r.boot().equals(m.boot())) {
        chosen = new GroupMember(m.instance(), r.boot());
        break;
      }
    }
    c.replace(g, chosen.instance(), chosen, "member returned");
  }

  /** Returns a later incomplete group of the same domain and engine kind, or null. */
  private static @Nullable GroupRecord donor(
      PlanContext c, GroupRecord g, List<GroupRecord> later) {
    ModelSpec m = c.modelZone(g).spec;
    for (GroupRecord d : later) {
      ModelSpec donorModel = c.modelZone(d).spec;
      boolean compatible =
          m != null
              && donorModel != null
              && donorModel.engineKind().equals(m.engineKind())
              && d.zone().equals(g.zone())
              && d.domain().equals(g.domain());
      if (compatible && !c.isBusy(d) && !missing(c, d).isEmpty()) {
        return d;
      }
    }
    return null;
  }
}
