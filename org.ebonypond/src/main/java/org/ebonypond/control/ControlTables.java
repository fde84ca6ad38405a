package org.ebonypond.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ebonypond.document.ServiceDocument;
import org.jspecify.annotations.Nullable;

/**
 * The mutable tables of {@link ControlState}. Records which entries the current command touched, so
 * that the invariant check does not have to scan all tables.
 */
final class ControlTables {
  long index;
  @Nullable ServiceDocument document;
  String documentAuthor = "";
  long documentIndex;
  long groupSequence;
  final Set<String> zonesOut = new TreeSet<>();

  private final Map<String, InstanceRecord> instances = new TreeMap<>();
  private final Map<String, GroupRecord> groups = new TreeMap<>();
  private final Map<String, String> groupByInstance = new HashMap<>();
  private final Map<String, Integer> instancesByZone = new HashMap<>();
  private final Set<String> touchedGroups = new HashSet<>();
  private final Set<String> touchedInstances = new HashSet<>();
  private @Nullable Map<String, InstanceRecord> instanceCopy;
  private @Nullable Map<String, GroupRecord> groupCopy;

  Map<String, InstanceRecord> instances() {
    return instances;
  }

  Map<String, GroupRecord> groups() {
    return groups;
  }

  @Nullable InstanceRecord instance(String name) {
    return instances.get(name);
  }

  @Nullable GroupRecord group(String name) {
    return groups.get(name);
  }

  /** Returns the name of the group to which an instance is assigned, or null. */
  @Nullable String groupOf(String instance) {
    return groupByInstance.get(instance);
  }

  long documentVersion() {
    return document == null ? 0 : document.version();
  }

  /**
   * Returns the zones that the document or a registered instance names, and those out of service.
   */
  Set<String> knownZones() {
    Set<String> zones = new TreeSet<>(instancesByZone.keySet());
    if (document != null) {
      document.models().forEach(m -> zones.addAll(m.zones()));
    }
    zones.addAll(zonesOut);
    return zones;
  }

  void putInstance(InstanceRecord r) {
    InstanceRecord old = instances.put(r.instance(), r);
    if (old != null) {
      countZone(old.zone(), -1);
    }
    countZone(r.zone(), 1);
    touchedInstances.add(r.instance());
    instanceCopy = null;
  }

  void removeInstance(String name) {
    InstanceRecord old = instances.remove(name);
    if (old != null) {
      countZone(old.zone(), -1);
    }
    touchedInstances.add(name);
    instanceCopy = null;
  }

  private void countZone(String zone, int delta) {
    instancesByZone.merge(zone, delta, (a, b) -> a + b == 0 ? null : a + b);
  }

  /**
   * Stores a group, updates the assignments of its members and marks members that left as released.
   */
  void putGroup(GroupRecord g) {
    GroupRecord old = groups.put(g.group(), g);
    if (old != null) {
      unassign(old);
    }
    for (GroupMember m : g.members()) {
      groupByInstance.putIfAbsent(m.instance(), g.group());
      touchedInstances.add(m.instance());
    }
    if (old != null) {
      release(old, g);
    }
    touchedGroups.add(g.group());
    groupCopy = null;
  }

  void removeGroup(String name) {
    GroupRecord old = groups.remove(name);
    if (old == null) {
      return;
    }
    unassign(old);
    release(old, null);
    touchedGroups.add(name);
    groupCopy = null;
  }

  private void unassign(GroupRecord g) {
    g.members().forEach(m -> groupByInstance.remove(m.instance(), g.group()));
  }

  private void release(GroupRecord old, @Nullable GroupRecord next) {
    for (GroupMember m : old.members()) {
      InstanceRecord r = instances.get(m.instance());
      if (r != null && (next == null || !next.hasMember(m.instance()))) {
        putInstance(r.withReleased(index));
      }
    }
  }

  Set<String> touchedGroups() {
    return touchedGroups;
  }

  Set<String> touchedInstances() {
    return touchedInstances;
  }

  void clearTouched() {
    touchedGroups.clear();
    touchedInstances.clear();
  }

  ControlView view() {
    if (instanceCopy == null) {
      instanceCopy = OrderedMap.copyOf(instances);
    }
    if (groupCopy == null) {
      groupCopy = OrderedMap.copyOf(groups);
    }
    return new ControlView(
        index, document, documentAuthor, zonesOut, instanceCopy, groupCopy, groupSequence);
  }
}
