package org.ebonypond.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Divides slots among holders with max-min fairness. */
final class FairDivision {
  /**
   * With more holders than slots, the holders that get one change after this time. It exceeds the
   * renewal interval, so that a share is usable before it moves on.
   */
  private static final long ROTATE_MILLIS = 2_000;

  private FairDivision() {}

  /**
   * Returns the slots of each holder. No share is less than one whole slot; holders beyond the
   * slots get none until the rotation reaches them.
   *
   * @param slots the slots to divide
   * @param wanted the slots that each holder can use, in a stable order
   * @param nowMillis the time, from which the rotation follows
   */
  static Map<HolderId, Integer> divide(int slots, Map<HolderId, Integer> wanted, long nowMillis) {
    List<HolderId> open = new ArrayList<>();
    wanted.forEach(
        (h, w) -> {
          if (w > 0) {
            open.add(h);
          }
        });
    Collections.rotate(open, (int) -(nowMillis / ROTATE_MILLIS % Math.max(1, open.size())));
    Map<HolderId, Integer> shares = new HashMap<>();
    int left = slots;
    while (left > 0 && !open.isEmpty()) {
      int each = Math.max(1, left / open.size());
      for (HolderId h : List.copyOf(open)) {
        int have = shares.getOrDefault(h, 0);
        int more = Math.min(Math.min(each, left), wanted.getOrDefault(h, 0) - have);
        shares.put(h, have + more);
        left -= more;
        if (have + more == wanted.getOrDefault(h, 0)) {
          open.remove(h);
        }
      }
    }
    return shares;
  }
}
