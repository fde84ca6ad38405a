package org.ebonypond.trace;

import java.util.List;

/**
 * A recorded trace.
 *
 * @param header the first line
 * @param records the inputs in the order in which they were processed
 */
public record Trace(TraceHeader header, List<TraceRecord> records) {
  /** Copies the list. */
  public Trace {
    records = List.copyOf(records);
  }
}
