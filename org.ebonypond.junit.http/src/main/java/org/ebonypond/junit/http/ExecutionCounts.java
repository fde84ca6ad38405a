package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts executions by idempotency key and by request identity. To detect duplicates, add up the
 * counts of all instances, because a call may run once on each of two instances. Not thread-safe.
 */
public final class ExecutionCounts {
  private final Map<String, Integer> byKey = new LinkedHashMap<>();
  private final Map<String, Integer> byRequest = new LinkedHashMap<>();
  private long duplicates;

  /**
   * Counts one execution.
   *
   * @param workspace the workspace of the key; empty if the call names none
   * @param key the idempotency key; empty if the call has none
   * @param requestId the request identity; empty if the call has none
   * @return whether the same key or request was executed before
   */
  public boolean add(String workspace, String key, String requestId) {
    boolean duplicate = false;
    if (!key.isEmpty()) {
      duplicate = byKey.merge(workspace + "/" + key, 1, Integer::sum) > 1;
    }
    if (!requestId.isEmpty()) {
      duplicate |= byRequest.merge(requestId, 1, Integer::sum) > 1;
    }
    duplicates += duplicate ? 1 : 0;
    return duplicate;
  }

  /** Returns the number of executions beyond the first of their key or request. */
  public long duplicates() {
    return duplicates;
  }

  /** Returns the number of executions by {@code workspace/key}. */
  public Map<String, Integer> byKey() {
    return Map.copyOf(byKey);
  }

  /** Returns the number of executions by request identity. */
  public Map<String, Integer> byRequest() {
    return Map.copyOf(byRequest);
  }

  /** Discards all counts. */
  public void reset() {
    byKey.clear();
    byRequest.clear();
    duplicates = 0;
  }
}
