package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;

/**
 * The groups and instances of a view in the order in which the scheduler visits them.
 *
 * @param instances the registry from which the index was built
 * @param groups the groups from which the index was built
 * @param loading the loading groups, ordered by the number of ready groups of their model, then by
 *     age
 * @param ready the ready groups by name
 * @param free the engine instances without a group, by name
 */
record ScheduleIndex(
    Map<String, InstanceRecord> instances,
    Map<String, GroupRecord> groups,
    List<GroupRecord> loading,
    List<GroupRecord> ready,
    List<InstanceRecord> free) {

  static ScheduleIndex of(ControlView view) {
    Set<String> assigned = new HashSet<>(view.instances().size() * 2);
    List<GroupRecord> loading = new ArrayList<>();
    List<GroupRecord> ready = new ArrayList<>();
    Map<String, Integer> readyByModel = new HashMap<>();
    for (GroupRecord g : view.groups().values()) {
      g.members().forEach(m -> assigned.add(m.instance()));
      if (g.state() == GroupState.LOADING) {
        loading.add(g);
      } else if (g.state() == GroupState.READY) {
        ready.add(g);
        readyByModel.merge(g.model(), 1, Integer::sum);
      }
    }
    loading.sort(
        Comparator.comparingInt((GroupRecord g) -> readyByModel.getOrDefault(g.model(), 0))
            .thenComparingLong(GroupRecord::epoch));
    ready.sort(Comparator.comparing(GroupRecord::group));
    List<InstanceRecord> free =
        view.instances().values().stream()
            .filter(r -> r.kind() == InstanceKind.ENGINE && !assigned.contains(r.instance()))
            .sorted(Comparator.comparing(InstanceRecord::instance))
            .toList();
    return new ScheduleIndex(view.instances(), view.groups(), loading, ready, free);
  }

  /**
   * Returns whether the index was built from the same maps as the view; views share unchanged maps.
   */
  boolean covers(ControlView view) {
    return view.instances() == instances && view.groups() == groups;
  }
}
