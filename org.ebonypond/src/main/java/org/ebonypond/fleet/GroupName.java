package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The name of a group. It holds the model and the size, so that a new control leader learns both
 * from the heartbeats of the members.
 *
 * @param model the name of the model
 * @param size the number of members
 * @param number distinguishes groups of one model
 */
record GroupName(String model, int size, long number) {
  private static final String SEPARATOR = ".";

  /** Returns the name as it is sent. */
  String text() {
    return model + SEPARATOR + size + SEPARATOR + number;
  }

  /** Returns the parts of a name, or null if no control leader gave it. */
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
      // Groups of other writers have other names; they are left alone.
      return null;
    }
  }
}
