package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.DissolveGroup;
import org.ebonypond.control.ControlCommand.DrainGroup;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;
import org.jspecify.annotations.Nullable;

/** The indexed input of one planning run, and its proposals so far. */
final class PlanContext {
  final ControlView view;
  final ServiceDocument document;
  final Map<String, InstanceObservation> observations;
  final long now;
  final Map<ModelZone.Key, ModelZone> modelZones =
      new TreeMap<>(Comparator.comparing(ModelZone.Key::model).thenComparing(ModelZone.Key::zone));

  /** Groups that match the document and have missing members. */
  final List<GroupRecord> incomplete = new ArrayList<>();

  /** Groups that are not ready and no longer match the document. */
  final List<GroupRecord> obsolete = new ArrayList<>();

  final List<GroupRecord> draining = new ArrayList<>();

  private final PendingProposals pending;
  private final FlapTracker flaps;
  private final Map<String, ModelSpec> models = new HashMap<>();
  private final Map<String, ModelZone.ModelTotals> totals = new HashMap<>();
  private final Map<String, GroupSizes> sizes = new HashMap<>();
  private final Map<DomainPool.Key, DomainPool> pools = new HashMap<>();
  private final Map<String, List<DomainPool>> poolsByZone = new HashMap<>();
  private final Set<String> reserved = new HashSet<>();
  private final Set<String> busyGroups = new HashSet<>();
  private final List<Proposal> out = new ArrayList<>();
  private long sequence;

  PlanContext(
      ControlView view,
      ServiceDocument document,
      Map<String, InstanceObservation> observations,
      PendingProposals pending,
      FlapTracker flaps,
      long sequence,
      long now) {
    this.view = view;
    this.document = document;
    this.observations = observations;
    this.pending = pending;
    this.flaps = flaps;
    this.sequence = sequence;
    this.now = now;
    indexModels();
    indexPending();
    indexInstances();
    indexGroups();
  }

  private void indexModels() {
    Map<String, Set<Integer>> byKind = new HashMap<>();
    for (ModelSpec m : document.models()) {
      models.put(m.name(), m);
      byKind.computeIfAbsent(m.engineKind(), k -> new HashSet<>()).add(m.instancesPerGroup());
      m.zones().forEach(z -> modelZone(new ModelZone.Key(m.name(), z)));
    }
    byKind.forEach(
        (k, s) -> sizes.put(k, new GroupSizes(s.stream().mapToInt(i -> i).sorted().toArray())));
  }

  ModelZone modelZone(ModelZone.Key key) {
    ModelZone z = modelZones.get(key);
    if (z == null) {
      ModelSpec m = models.get(key.model());
      boolean wanted =
          m != null && m.zones().contains(key.zone()) && !view.zonesOut().contains(key.zone());
      ModelZone.ModelTotals t =
          totals.computeIfAbsent(key.model(), k -> new ModelZone.ModelTotals());
      z = new ModelZone(key, m, t, wanted && m != null ? m.groupsPerZone() : 0);
      modelZones.put(key, z);
    }
    return z;
  }

  ModelZone modelZone(GroupRecord g) {
    return modelZone(new ModelZone.Key(g.model(), g.zone()));
  }

  private void indexPending() {
    for (ControlCommand c : pending.commands()) {
      if (c instanceof FormGroup f) {
        f.members().forEach(m -> reserved.add(m.instance()));
        InstanceRecord r = view.instances().get(f.members().get(0).instance());
        if (r != null) {
          countForming(modelZone(new ModelZone.Key(f.model(), r.zone())));
        }
      } else if (c instanceof ReplaceMember r) {
        reserved.add(r.in().instance());
        busyGroups.add(r.group());
      }
    }
  }

  private void countForming(ModelZone z) {
    z.forming++;
    z.totals.placed++;
    z.totals.inTransition++;
  }

  private void indexInstances() {
    Set<String> assigned = new HashSet<>(view.instances().size() * 2);
    view.groups().values().forEach(g -> g.members().forEach(m -> assigned.add(m.instance())));
    for (InstanceRecord r : view.instances().values()) {
      boolean free =
          r.kind() == InstanceKind.ENGINE
              && r.status() == InstanceStatus.UP
              && !assigned.contains(r.instance())
              && !reserved.contains(r.instance())
              && !view.zonesOut().contains(r.zone())
              && !flaps.isQuarantined(r.instance(), now);
      if (free) {
        pool(r.zone(), r.domain(), r.flavor()).add(r);
      }
    }
    poolsByZone.values().forEach(l -> l.sort(Comparator.comparing(DomainPool::domain)));
  }

  DomainPool pool(String zone, String domain, String kind) {
    DomainPool.Key key = new DomainPool.Key(zone, domain, kind);
    DomainPool p = pools.get(key);
    if (p == null) {
      p = new DomainPool(key, sizes.getOrDefault(kind, GroupSizes.NONE), observations);
      pools.put(key, p);
      poolsByZone.computeIfAbsent(zone + '\0' + kind, k -> new ArrayList<>()).add(p);
    }
    return p;
  }

  private void indexGroups() {
    Set<String> pendingRemoval = new HashSet<>();
    for (ControlCommand c : pending.commands()) {
      if (c instanceof DrainGroup d) {
        pendingRemoval.add(d.group());
      } else if (c instanceof DissolveGroup d) {
        pendingRemoval.add(d.group());
      }
    }
    List<GroupRecord> sorted = new ArrayList<>(view.groups().values());
    sorted.sort(Comparator.comparing(GroupRecord::group));
    for (GroupRecord g : sorted) {
      ModelZone z = modelZone(g);
      if (g.state() == GroupState.DRAINING || pendingRemoval.contains(g.group())) {
        z.draining++;
        z.totals.inTransition++;
        if (!pendingRemoval.contains(g.group())) {
          draining.add(g);
        }
      } else {
        classify(g, z);
      }
    }
  }

  private void classify(GroupRecord g, ModelZone z) {
    ModelSpec m = z.spec;
    boolean serving = g.state() == GroupState.READY;
    if (m == null || !matches(g, m)) {
      if (!serving) {
        obsolete.add(g);
        return;
      }
      z.stale.add(g);
    } else if (serving && hasLeavingMember(g)) {
      z.leaving.add(g);
    } else {
      z.matching.add(g);
      if (g.state() == GroupState.LOADING) {
        z.totals.inTransition++;
      }
      if (g.state() == GroupState.DOWN || hasLeavingMember(g)) {
        incomplete.add(g);
      }
    }
    z.totals.placed++;
    z.totals.ready += serving ? 1 : 0;
    if (m != null) {
      pool(g.zone(), g.domain(), m.engineKind()).addGroup(g.model());
    }
  }

  private boolean matches(GroupRecord g, ModelSpec m) {
    InstanceRecord first = view.instances().get(g.members().get(0).instance());
    return m.zones().contains(g.zone())
        && m.version().equals(g.version())
        && m.adapters().equals(g.adapters())
        && m.instancesPerGroup() == g.members().size()
        && (first == null || first.flavor().equals(m.engineKind()));
  }

  private boolean hasLeavingMember(GroupRecord g) {
    for (GroupMember m : g.members()) {
      InstanceRecord r = view.instances().get(m.instance());
      if (r != null && r.status() == InstanceStatus.LEAVING) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether an instance could serve in a group, with its current or a new boot. */
  boolean isUsable(GroupRecord g, GroupMember m) {
    InstanceRecord r = view.instances().get(m.instance());
    return r != null
        && r.status() == InstanceStatus.UP
        && r.zone().equals(g.zone())
        && r.domain().equals(g.domain())
        && (r.boot().equals(m.boot()) || !flaps.isQuarantined(m.instance(), now));
  }

  /** Returns whether no member is down, unregistered or restarted since it joined. */
  boolean isComplete(GroupRecord g) {
    for (GroupMember m : g.members()) {
      InstanceRecord r = view.instances().get(m.instance());
      if (r == null || r.status() == InstanceStatus.DOWN || !r.boot().equals(m.boot())) {
        return false;
      }
    }
    return true;
  }

  boolean isBusy(GroupRecord g) {
    return busyGroups.contains(g.group());
  }

  /** Returns the domains of a zone with enough free instances for a group, by name. */
  List<DomainPool> fitting(ModelSpec m, String zone) {
    List<DomainPool> fit = new ArrayList<>();
    for (DomainPool p : poolsByZone.getOrDefault(zone + '\0' + m.engineKind(), List.of())) {
      if (p.free() >= m.instancesPerGroup()) {
        fit.add(p);
      }
    }
    return fit;
  }

  /** Returns the largest number of free instances in any domain of a zone. */
  int maxFree(ModelSpec m, String zone) {
    int largest = 0;
    for (DomainPool p : poolsByZone.getOrDefault(zone + '\0' + m.engineKind(), List.of())) {
      largest = Math.max(largest, p.free());
    }
    return largest;
  }

  /** Places one group if a domain has enough free instances; returns whether it did. */
  boolean place(ModelZone z, PlacementPolicy policy, String reason) {
    ModelSpec m = z.spec;
    if (m == null) {
      return false;
    }
    List<DomainPool> fit = fitting(m, z.key.zone());
    if (fit.isEmpty()) {
      return false;
    }
    form(z, m, policy.place(m, fit), reason);
    return true;
  }

  void form(ModelZone z, ModelSpec m, DomainPool p, String reason) {
    final List<GroupMember> members = p.take(m.instancesPerGroup(), m.name(), m.version());
    sequence++;
    p.addGroup(m.name());
    countForming(z);
    propose(
        new FormGroup(m.name() + "-" + sequence, m.name(), m.version(), m.adapters(), members),
        reason);
  }

  void replace(GroupRecord g, String outgoing, GroupMember in, String reason) {
    busyGroups.add(g.group());
    propose(new ReplaceMember(g.group(), g.epoch(), outgoing, in), reason);
  }

  void drain(GroupRecord g, String reason) {
    busyGroups.add(g.group());
    propose(new DrainGroup(g.group(), g.epoch(), reason), reason);
  }

  void dissolve(GroupRecord g, String reason) {
    busyGroups.add(g.group());
    propose(new DissolveGroup(g.group(), g.epoch(), reason), reason);
  }

  /** Removes a group from the counts of its model and zone because it will not serve again. */
  void retire(GroupRecord g) {
    ModelZone z = modelZone(g);
    if (z.matching.remove(g) || z.stale.remove(g) || z.leaving.remove(g)) {
      z.totals.placed--;
      z.totals.ready -= g.state() == GroupState.READY ? 1 : 0;
      z.draining++;
    }
  }

  private void propose(ControlCommand c, String reason) {
    if (pending.add(c, now)) {
      out.add(new Proposal(c, reason));
    }
  }

  /** Returns whether every declared group is placed and no time-based condition is pending. */
  boolean isIdle() {
    return incomplete.isEmpty()
        && draining.isEmpty()
        && out.isEmpty()
        && modelZones.values().stream()
            .allMatch(z -> z.leaving.isEmpty() && z.stale.isEmpty() && z.placed() >= z.desired);
  }

  List<Proposal> proposals() {
    return out;
  }

  long sequence() {
    return sequence;
  }

  @Nullable InstanceRecord instance(String name) {
    return view.instances().get(name);
  }
}
