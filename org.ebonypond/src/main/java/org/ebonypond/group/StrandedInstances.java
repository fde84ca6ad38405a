package org.ebonypond.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;

/** Counts the engine instances that are up but cannot serve in a complete group. */
public final class StrandedInstances {
  private StrandedInstances() {}

  /**
   * Returns the number of free instances that cannot form a complete group of a declared model in
   * their fabric domain, plus the remaining members of groups that are down. Instances of
   * availability zones that are out of service do not count.
   */
  public static int count(ControlView view) {
    ServiceDocument document = view.document();
    if (document == null) {
      return 0;
    }
    Set<String> assigned = new HashSet<>();
    int inDownGroups = 0;
    for (GroupRecord g : view.groups().values()) {
      g.members().forEach(m -> assigned.add(m.instance()));
      inDownGroups += g.state() == GroupState.DOWN ? remaining(view, g) : 0;
    }
    Map<DomainPool.Key, DomainPool> pools = new HashMap<>();
    for (InstanceRecord r : view.instances().values()) {
      if (isUp(view, r) && !assigned.contains(r.instance())) {
        DomainPool.Key key = new DomainPool.Key(r.zone(), r.domain(), r.flavor());
        pools.computeIfAbsent(key, k -> new DomainPool(k, sizes(document, k), Map.of())).add(r);
      }
    }
    return inDownGroups + pools.values().stream().mapToInt(p -> p.strandedAfter(0)).sum();
  }

  private static int remaining(ControlView view, GroupRecord g) {
    return (int)
        g.members().stream()
            .map(m -> view.instances().get(m.instance()))
            .filter(r -> r != null && isUp(view, r))
            .count();
  }

  private static boolean isUp(ControlView view, InstanceRecord r) {
    return r.kind() == InstanceKind.ENGINE
        && r.status() == InstanceStatus.UP
        && !view.zonesOut().contains(r.zone());
  }

  private static GroupSizes sizes(ServiceDocument document, DomainPool.Key key) {
    int[] sizes =
        document.models().stream()
            .filter(m -> m.engineKind().equals(key.engineKind()) && m.zones().contains(key.zone()))
            .mapToInt(ModelSpec::instancesPerGroup)
            .distinct()
            .sorted()
            .toArray();
    return new GroupSizes(sizes);
  }
}
