package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts of new work by availability zone and while leaving. Not thread-safe. */
public final class WorkCounts {
  private static final long LEAVING_GRACE_MILLIS = 5_000;
  private final Map<String, Long> requestsByZone = new TreeMap<>();
  private long executions;
  private long whileLeaving;
  private long afterLeavingGrace;
  private long lastRequestWallMillis;

  /**
   * Counts one request that begins to run.
   *
   * @param zone the availability zone of the backend server
   * @param leaving whether the backend server is leaving
   * @param leavingFor how long it has been leaving, in milliseconds
   * @param wallMillis wall time in milliseconds since the epoch
   */
  public void started(String zone, boolean leaving, long leavingFor, long wallMillis) {
    executions++;
    requestsByZone.merge(zone, 1L, Long::sum);
    lastRequestWallMillis = wallMillis;
    if (leaving) {
      whileLeaving++;
    }
    if (leavingFor > LEAVING_GRACE_MILLIS) {
      afterLeavingGrace++;
    }
  }

  /** Returns the number of requests that began to run. */
  public long executions() {
    return executions;
  }

  /** Returns the counts by name. */
  public Map<String, Object> values() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("executions", executions);
    out.put("requestsByZone", Map.copyOf(requestsByZone));
    out.put("lastRequestWallMillis", lastRequestWallMillis);
    out.put("startedWhileLeaving", whileLeaving);
    out.put("startedAfterLeaving5s", afterLeavingGrace);
    return out;
  }

  /** Sets the counts to 0. */
  public void reset() {
    requestsByZone.clear();
    executions = 0;
    whileLeaving = 0;
    afterLeavingGrace = 0;
    lastRequestWallMillis = 0;
  }
}
