package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** What the common part of the stand-ins needs of the engine and of the service. */
public interface BackendServer {
  /** Returns the boot identity and faults. */
  Lifecycle lifecycle();

  /** Returns the present load. */
  LoadHistory.Sample load(long now, long wallMillis);

  /** Adds the members of the announcement that depend on the kind. */
  void describe(ObjectNode announcement, long now);

  /** Returns all counts by name. */
  Map<String, Object> counters();

  /** Returns the executions by key and by request. */
  Map<String, Object> executions();

  /** Sets the counts to 0 and ends the injected faults. */
  void reset();

  /** Restarts with a new boot identity. */
  void restart(long now);

  /** Injects a fault that only this kind has; returns false if the type is not known. */
  boolean fault(String type, JsonNode parameters, long now);

  /** Carries on with the work that is due. */
  void advance(long now);
}
