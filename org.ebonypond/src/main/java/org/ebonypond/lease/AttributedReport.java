package org.ebonypond.lease;

import java.util.HashMap;
import java.util.Map;

/** A load report and the number of its active requests that are attributed to live holders. */
final class AttributedReport {
  private final long measuredMillis;
  private final int active;
  private final Map<HolderId, Integer> attributed = new HashMap<>();

  AttributedReport(long measuredMillis, int active) {
    this.measuredMillis = measuredMillis;
    this.active = active;
  }

  long measuredMillis() {
    return measuredMillis;
  }

  /**
   * Attributes active requests to a holder: those certainly in flight at the time of the
   * measurement.
   */
  void attribute(HolderId holder, int minActive) {
    attributed.putIfAbsent(holder, minActive);
  }

  /** Returns the maximum number of active requests that can belong to lapsed shares. */
  int unattributed() {
    return Math.max(0, active - attributed.values().stream().mapToInt(n -> n).sum());
  }
}
