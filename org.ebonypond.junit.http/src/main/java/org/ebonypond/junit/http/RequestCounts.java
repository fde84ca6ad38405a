package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts admitted requests by availability zone and while leaving. Not thread-safe. */
public final class RequestCounts {
  /** Leaving time in milliseconds after which requests count as {@code startedAfterLeaving5s}. */
  private static final long LEAVING_GRACE_MILLIS = 5_000;

  private final Map<String, Long> requestsByZone = new TreeMap<>();
  private long executions;
  private long startedWhileLeaving;
  private long startedAfterLeavingGrace;
  private long lastRequestWallMillis;

  /**
   * Counts one admitted request.
   *
   * @param zone the availability zone of the backend server
   * @param leaving whether the backend server is leaving
   * @param leavingFor how long it has been leaving, in milliseconds; 0 if it is not
   * @param wallMillis wall time in milliseconds since the epoch
   */
  public void started(String zone, boolean leaving, long leavingFor, long wallMillis) {
    executions++;
    requestsByZone.merge(zone, 1L, Long::sum);
    lastRequestWallMillis = wallMillis;
    if (leaving) {
      startedWhileLeaving++;
    }
    if (leavingFor > LEAVING_GRACE_MILLIS) {
      startedAfterLeavingGrace++;
    }
  }

  /** Returns the number of admitted requests. */
  public long executions() {
    return executions;
  }

  /** Returns the counters by name. */
  public Map<String, Object> values() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("executions", executions);
    out.put("requestsByZone", Map.copyOf(requestsByZone));
    out.put("lastRequestWallMillis", lastRequestWallMillis);
    out.put("startedWhileLeaving", startedWhileLeaving);
    out.put("startedAfterLeaving5s", startedAfterLeavingGrace);
    return out;
  }

  /** Sets the counters to 0. */
  public void reset() {
    requestsByZone.clear();
    executions = 0;
    startedWhileLeaving = 0;
    startedAfterLeavingGrace = 0;
    lastRequestWallMillis = 0;
  }
}
