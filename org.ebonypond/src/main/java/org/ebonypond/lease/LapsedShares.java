package org.ebonypond.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Lapsed shares of one target under which requests may still be in flight. A load report bounds the
 * requests of several holders jointly, because a server does not report which holder's requests it
 * runs.
 */
final class LapsedShares {
  private final Map<HolderId, Lapse> lapses = new HashMap<>();
  // The holders whose lapsed shares together are charged at most the cap, as a load report showed.
  private final Set<HolderId> capped = new HashSet<>();
  private int cap;

  private record Lapse(Holding holding, int charge, long lapsedMillis) {}

  void add(HolderId holder, Holding holding, long lapsedMillis) {
    if (holding.charge() > 0) {
      lapses.put(holder, new Lapse(holding, holding.charge(), lapsedMillis));
    }
  }

  /**
   * Removes and returns the record of a holder that has resumed its own reports, or null if nothing
   * is charged to it.
   */
  @Nullable Holding remove(HolderId holder) {
    capped.remove(holder);
    Lapse l = lapses.remove(holder);
    return l == null ? null : l.holding;
  }

  /** Returns the maximum number of requests that may be in flight under lapsed shares. */
  int charge() {
    int uncapped = 0;
    long cappedCharge = 0;
    for (Map.Entry<HolderId, Lapse> e : lapses.entrySet()) {
      if (capped.contains(e.getKey())) {
        cappedCharge += e.getValue().charge;
      } else {
        uncapped += e.getValue().charge;
      }
    }
    return uncapped + (int) Math.min(cappedCharge, cap);
  }

  /**
   * Lowers the charge of the shares that had lapsed by a given time.
   *
   * @param lapsedBy the time of the latest lapse that the bound covers, in milliseconds
   * @param requests the maximum number of requests that can belong to these shares
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
    // Only shares not covered by the earlier bound add to it.
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
