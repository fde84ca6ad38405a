package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/** The group that an instance was last known in, and since when it is not in it any more. */
final class LastGroup {
  private static final long NOT_LEFT = -1;

  final String name;
  final long epoch;

  /** The start time of the instance; a later process of the same identifier was not a member. */
  final long startMillis;

  /** The identifier of the head, or empty if none has reported to be it. */
  String head = "";

  /** The time of the last round in which the instance reported the group, in milliseconds. */
  long lastReported;

  /** When the instance was sent the latest order to leave that it has confirmed, or null. */
  @Nullable Long confirmedOrderAt;

  private long leftAt = NOT_LEFT;
  private boolean isReported;

  LastGroup(String name, long epoch, long startMillis) {
    this.name = name;
    this.epoch = epoch;
    this.startMillis = startMillis;
  }

  String key() {
    return GroupView.key(name, epoch);
  }

  boolean hasLeft() {
    return leftAt != NOT_LEFT;
  }

  /** Returns the time at which the instance was first known outside the group. */
  long leftAt() {
    return leftAt;
  }

  /** Records that the instance has confirmed an order to leave the group. */
  void leave(long now) {
    if (!hasLeft()) {
      leftAt = now;
    }
  }

  /** Records that the instance has reported that it is not in the group. */
  void reportOutside(long now) {
    leave(now);
    isReported = true;
  }

  /**
   * Returns whether a report is of this membership. One that comes after the instance has confirmed
   * that it left may be late, but not one that comes after its report that it left.
   */
  boolean isOf(FleetInstance i, GroupMembership g) {
    return startMillis == i.startMillis()
        && epoch == g.epoch()
        && name.equals(g.name())
        && !isReported;
  }
}
