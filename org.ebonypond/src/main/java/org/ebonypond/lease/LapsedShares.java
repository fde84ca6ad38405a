package org.ebonypond.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Shares of one target that lapsed while requests may be in flight. Load reports bound the requests
 * of several holders together, because a server does not say whose requests it runs.
 */
final class LapsedShares {
  private final Map<HolderId, Lapse> lapses = new HashMap<>();
  private final Set<HolderId> capped = new HashSet<>();
  private int cap;

  private record Lapse(Holding holding, int charge, long lapsedMillis) {}

  void add(HolderId holder, Holding holding, long lapsedMillis) {
    if (holding.charge() > 0) {
      lapses.put(holder, new Lapse(holding, holding.charge(), lapsedMillis));
    }
  }

  /**
   * Removes and returns what is known of a holder that is back and reports its requests itself, or
   * null if nothing of it is charged.
   */
  @Nullable Holding remove(HolderId holder) {
    capped.remove(holder);
    Lapse l = lapses.remove(holder);
    return l == null ? null : l.holding;
  }

  /** Returns the requests that may be in flight under lapsed shares. */
  int charge() {
    int free = 0;
    long bounded = 0;
    for (Map.Entry<HolderId, Lapse> e : lapses.entrySet()) {
      if (capped.contains(e.getKey())) {
        bounded += e.getValue().charge;
      } else {
        free += e.getValue().charge;
      }
    }
    return free + (int) Math.min(bounded, cap);
  }

  /**
   * Lowers the charge of the shares that lapsed by a given time.
   *
   * @param lapsedBy the latest lapse that the bound covers
   * @param requests the most requests that can belong to these shares
   */
  void bound(long lapsedBy, int requests) {
    Set<HolderId> covered = new HashSet<>();
    lapses.forEach(
        (h, l) -> {
          if (l.lapsedMillis <= lapsedBy) {
            covered.add(h);
          }
        });
    if (covered.isEmpty() || !covered.containsAll(capped)) {
      return;
    }
    // Only shares that no earlier bound covers add to the earlier bound.
    long before = capped.isEmpty() ? 0 : cap;
    for (HolderId h : covered) {
      if (!capped.contains(h)) {
        before += lapses.get(h).charge;
      }
    }
    cap = (int) Math.min(before, requests);
    capped.addAll(covered);
    if (cap == 0) {
      lapses.keySet().removeAll(covered);
      capped.clear();
    }
  }
}
