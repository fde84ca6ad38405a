package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The name of a group. It encodes the model and the size, so that a new control leader can recover
 * both from the heartbeats of the members.
 *
 * @param model the name of the model
 * @param size the number of members
 * @param number distinguishes the groups of one model
 */
record GroupName(String model, int size, long number) {
  private static final String SEPARATOR = ".";

  /** Returns the encoded name. */
  String text() {
    return model + SEPARATOR + size + SEPARATOR + number;
  }

  /**
   * Returns the name of a group that a control leader formed, or null. Leaders number a group by
   * its epoch; a higher epoch of another origin would raise those of all later groups.
   */
  static @Nullable GroupName of(GroupMembership g) {
    GroupName name = parse(g.name());
    return name != null && name.number() == g.epoch() ? name : null;
  }

  /** Parses a name; returns null if it was not assigned by a control leader. */
  static @Nullable GroupName parse(String text) {
    int second = text.lastIndexOf('.');
    int first = second <= 0 ? -1 : text.lastIndexOf('.', second - 1);
    if (first <= 0) {
      return null;
    }
    try {
      return new GroupName(
          text.substring(0, first),
          Integer.parseInt(text.substring(first + 1, second)),
          Long.parseLong(text.substring(second + 1)));
    } catch (NumberFormatException e) {
      // The group was not created by a control leader and is ignored.
      return null;
    }
  }
}
