package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts executions by idempotency key and by request identity. Not thread-safe. The counts of
 * several instances must be added up: one call may run once on each of two instances.
 */
public final class ExecutionLedger {
  private final Map<String, Integer> byKey = new LinkedHashMap<>();
  private final Map<String, Integer> byRequest = new LinkedHashMap<>();
  private long doubled;

  /**
   * Counts one execution.
   *
   * @param workspace the workspace of the key; empty if the call names none
   * @param key the idempotency key; empty if the call has none
   * @param requestId the request identity; empty if the call has none
   * @return whether the same key or request has run before
   */
  public boolean executed(String workspace, String key, String requestId) {
    boolean again = false;
    if (!key.isEmpty()) {
      again = byKey.merge(workspace + "/" + key, 1, Integer::sum) > 1;
    }
    if (!requestId.isEmpty()) {
      again |= byRequest.merge(requestId, 1, Integer::sum) > 1;
    }
    doubled += again ? 1 : 0;
    return again;
  }

  /** Returns the number of executions beyond the first of their key or request. */
  public long doubled() {
    return doubled;
  }

  /** Returns the executions by workspace, a slash and the idempotency key. */
  public Map<String, Integer> byKey() {
    return Map.copyOf(byKey);
  }

  /** Returns the executions by request identity. */
  public Map<String, Integer> byRequest() {
    return Map.copyOf(byRequest);
  }

  /** Forgets all executions. */
  public void reset() {
    byKey.clear();
    byRequest.clear();
    doubled = 0;
  }
}
