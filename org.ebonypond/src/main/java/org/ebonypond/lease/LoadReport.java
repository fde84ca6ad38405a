package org.ebonypond.lease;

import java.util.HashMap;
import java.util.Map;

/** A load report and the part of its active requests that live holders account for. */
final class LoadReport {
  private final long measuredMillis;
  private final int active;
  private final Map<HolderId, Integer> accounted = new HashMap<>();

  LoadReport(long measuredMillis, int active) {
    this.measuredMillis = measuredMillis;
    this.active = active;
  }

  long measuredMillis() {
    return measuredMillis;
  }

  /** Takes the requests of a holder that were surely active at the measurement. */
  void account(HolderId holder, int surelyActive) {
    accounted.putIfAbsent(holder, surelyActive);
  }

  /** Returns the most active requests that can belong to lapsed shares. */
  int unaccounted() {
    return Math.max(0, active - accounted.values().stream().mapToInt(n -> n).sum());
  }
}
