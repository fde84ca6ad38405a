package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** The operations of a simulated engine or plain service that {@link StandInServer} uses. */
public interface BackendServer {
  /** Returns the lifecycle: boot identity, overload state and injected faults. */
  Lifecycle lifecycle();

  /**
   * Returns the current load.
   *
   * @param now monotonic milliseconds
   * @param wallMillis wall time in milliseconds since the epoch
   */
  LoadHistory.Sample load(long now, long wallMillis);

  /** Adds the fields of the announcement that only this kind of backend server has. */
  void describe(ObjectNode announcement, long now);

  /** Returns all counters by name. */
  Map<String, Object> counters();

  /** Returns the execution counts by idempotency key and by request identity. */
  Map<String, Object> executions();

  /** Sets the counters to 0 and ends the injected faults. */
  void reset();

  /** Restarts with a new boot identity. */
  void restart(long now);

  /** Injects a fault of this kind of backend server; returns false if the type is unknown. */
  boolean injectFault(String type, JsonNode parameters, long now);

  /** Performs the simulated work that is due at a time. */
  void advance(long now);
}
