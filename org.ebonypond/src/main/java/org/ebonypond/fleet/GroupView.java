package org.ebonypond.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The state of one group and epoch as its members report it. */
final class GroupView {
  final String name;
  final long epoch;
  final GroupName parsedName;
  final Map<Integer, FleetInstance> members = new TreeMap<>();

  GroupView(String name, long epoch, GroupName parsedName) {
    this.name = name;
    this.epoch = epoch;
    this.parsedName = parsedName;
  }

  /** Returns the head, or null if it has not reported. */
  @Nullable FleetInstance head() {
    return members.get(0);
  }

  /** Returns the group state that the head reports, or null. */
  @Nullable MemberState headState() {
    FleetInstance h = head();
    return h == null || h.group() == null ? null : h.group().state();
  }

  /** Returns whether every member has reported. */
  boolean isComplete() {
    return members.size() == parsedName.size();
  }

  /** Returns whether every member has reported that it is ready. */
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
