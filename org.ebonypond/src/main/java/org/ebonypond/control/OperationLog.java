package org.ebonypond.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The results of the most recent operations, by operation identifier. */
final class OperationLog {
  /**
   * Bounds memory; at 15,000 changes per day, a resent operation is recognized for about 16 hours.
   */
  static final int CAPACITY = 10_000;

  private final Map<String, ControlResult> results = new LinkedHashMap<>();

  @Nullable ControlResult find(String operationId) {
    return operationId.isEmpty() ? null : results.get(operationId);
  }

  void record(String operationId, ControlResult result) {
    if (operationId.isEmpty()) {
      return;
    }
    results.putIfAbsent(operationId, result);
    if (results.size() > CAPACITY) {
      results.remove(results.keySet().iterator().next());
    }
  }

  /** Returns the entries, oldest first. */
  List<ControlSnapshot.Operation> entries() {
    List<ControlSnapshot.Operation> out = new ArrayList<>(results.size());
    results.forEach((id, r) -> out.add(new ControlSnapshot.Operation(id, r)));
    return out;
  }
}
