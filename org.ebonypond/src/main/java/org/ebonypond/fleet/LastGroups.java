package org.ebonypond.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The last group of each instance in the current term. Its head may serve until it has found the
 * instance missing, whoever ordered the instance to leave.
 */
final class LastGroups {
  private final Map<String, LastGroup> groups = new HashMap<>();

  /** When each instance was first reported in the current term, in milliseconds. */
  private final Map<String, Long> knownSince = new HashMap<>();

  /**
   * Records the latest report of an instance.
   *
   * @param i the instance
   * @param now the time in milliseconds
   * @return the earlier membership in the same group, if the instance has joined it again
   */
  @Nullable LastGroup report(FleetInstance i, long now) {
    knownSince.putIfAbsent(i.id(), now);
    LastGroup last = groups.get(i.id());
    if (last != null && last.startMillis != i.startMillis()) {
      groups.remove(i.id());
      last = null;
    }
    GroupMembership g = i.group();
    if (g == null) {
      if (last != null) {
        last.reportOutside(now);
      }
      return null;
    }
    LastGroup before = null;
    if (last == null || !last.isOf(i, g)) {
      before = last != null && last.key().equals(GroupView.key(g.name(), g.epoch())) ? last : null;
      last = new LastGroup(g.name(), g.epoch(), i.startMillis());
      groups.put(i.id(), last);
    }
    last.lastReported = now;
    return before;
  }

  /** Records that a membership has ended; a later report of the same group is another one. */
  void end(String instance, long now) {
    LastGroup last = groups.get(instance);
    if (last != null) {
      last.reportOutside(now);
    }
  }

  /**
   * Records the heads that have reported by now; a member may have left its group before.
   *
   * @param heads the heads, by group and epoch
   */
  void nameHeads(Map<String, String> heads) {
    for (LastGroup last : groups.values()) {
      if (last.head.isEmpty()) {
        last.head = heads.getOrDefault(last.key(), "");
      }
    }
  }

  /**
   * Records that an instance has confirmed an order to leave a group.
   *
   * @param sentAt when the order was sent, in milliseconds
   * @param now the time in milliseconds
   */
  void confirmLeft(String instance, String group, long epoch, long sentAt, long now) {
    LastGroup last = groups.get(instance);
    if (last != null && last.key().equals(GroupView.key(group, epoch))) {
      last.leave(now);
      last.confirmedOrderAt = sentAt;
    }
  }

  /** Returns the last group of an instance, or null if it has reported none in this term. */
  @Nullable LastGroup of(String instance) {
    return groups.get(instance);
  }

  /** Returns when an instance was first reported in the current term, in milliseconds. */
  long knownSince(String instance) {
    return knownSince.getOrDefault(instance, Long.MAX_VALUE);
  }

  /** Forgets all instances but these. */
  void retain(Set<String> instances) {
    groups.keySet().retainAll(instances);
    knownSince.keySet().retainAll(instances);
  }

  void clear() {
    groups.clear();
    knownSince.clear();
  }
}
