package org.ebonypond.group;

import java.util.Arrays;

/** The distinct sizes of the declared groups of an engine kind, with precomputed remainders. */
final class GroupSizes {
  static final GroupSizes NONE = new GroupSizes(new int[0]);

  private final int[] sizes;
  private int[] stranded = {0};

  /**
   * Creates a table of remainders.
   *
   * @param sizes the group sizes, ascending and distinct
   */
  GroupSizes(int[] sizes) {
    this.sizes = sizes;
  }

  /** Returns the least number of {@code free} instances that complete groups leave unused. */
  int stranded(int free) {
    if (free >= stranded.length) {
      extend(Math.max(free + 1, 2 * stranded.length));
    }
    return stranded[free];
  }

  private void extend(int length) {
    int from = stranded.length;
    stranded = Arrays.copyOf(stranded, length);
    for (int i = from; i < length; i++) {
      int least = stranded[i - 1] + 1;
      for (int s : sizes) {
        if (s <= i) {
          least = Math.min(least, stranded[i - s]);
        }
      }
      stranded[i] = least;
    }
  }
}
