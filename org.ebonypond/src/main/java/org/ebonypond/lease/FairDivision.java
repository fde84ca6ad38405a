package org.ebonypond.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Divides slots among holders with max-min fairness. */
final class FairDivision {
  /**
   * The rotation interval if there are more holders than slots. It exceeds the renewal interval, so
   * that a share can be used before it passes to the next holder.
   */
  private static final long ROTATE_MILLIS = 2_000;

  private FairDivision() {}

  /**
   * Returns the number of slots of each holder. Slots are not divided; if there are more holders
   * than slots, the others get none until the rotation reaches them.
   *
   * @param slots the number of slots to divide
   * @param wanted the number of slots that each holder can use, in a stable order
   * @param nowMillis the time, which determines the rotation, in milliseconds
   */
  static Map<HolderId, Integer> divide(int slots, Map<HolderId, Integer> wanted, long nowMillis) {
    List<HolderId> unsatisfied = new ArrayList<>();
    wanted.forEach(
        (h, w) -> {
          if (w > 0) {
            unsatisfied.add(h);
          }
        });
    Collections.rotate(
        unsatisfied, (int) -(nowMillis / ROTATE_MILLIS % Math.max(1, unsatisfied.size())));
    Map<HolderId, Integer> shares = new HashMap<>();
    int remaining = slots;
    while (remaining > 0 && !unsatisfied.isEmpty()) {
      int each = Math.max(1, remaining / unsatisfied.size());
      for (HolderId h : List.copyOf(unsatisfied)) {
        int current = shares.getOrDefault(h, 0);
        int more = Math.min(Math.min(each, remaining), wanted.getOrDefault(h, 0) - current);
        shares.put(h, current + more);
        remaining -= more;
        if (current + more == wanted.getOrDefault(h, 0)) {
          unsatisfied.remove(h);
        }
      }
    }
    return shares;
  }
}
