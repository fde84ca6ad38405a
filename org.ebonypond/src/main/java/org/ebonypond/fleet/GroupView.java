package org.ebonypond.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** What the members of one group and epoch report. */
final class GroupView {
  final String name;
  final long epoch;
  final GroupName parts;
  final Map<Integer, FleetInstance> members = new TreeMap<>();

  GroupView(String name, long epoch, GroupName parts) {
    this.name = name;
    this.epoch = epoch;
    this.parts = parts;
  }

  /** Returns the head, or null if it has not reported. */
  @Nullable FleetInstance head() {
    return members.get(0);
  }

  /** Returns what the head says of the group, or null. */
  @Nullable MemberState headState() {
    FleetInstance h = head();
    return h == null || h.group() == null ? null : h.group().state();
  }

  /** Returns whether every member has reported. */
  boolean isComplete() {
    return members.size() == parts.size();
  }

  /** Returns whether every member has joined. */
  boolean isReady() {
    return isComplete()
        && members.values().stream()
            .allMatch(m -> m.group() != null && m.group().state() == MemberState.READY);
  }

  /** Returns the key of this group and epoch. */
  String key() {
    return key(name, epoch);
  }

  static String key(String name, long epoch) {
    return name + "@" + epoch;
  }
}
