package org.ebonypond.events;

import java.util.List;
import java.util.Map;
import org.ebonypond.time.HybridTimestamp;

/**
 * A recorded decision or observation.
 *
 * @param id the identifier, unique over all processes: the node name, a slash and a sequence number
 * @param time the hybrid logical timestamp
 * @param node the name of the process
 * @param code the numbered code
 * @param subject the entity that the event concerns, for example {@code request/…}, {@code group/…}
 * @param causes the identifiers of the events that led to this one
 * @param fields additional values, for display
 */
public record Event(
    String id,
    HybridTimestamp time,
    String node,
    EventCode code,
    String subject,
    List<String> causes,
    Map<String, String> fields) {
  /** Copies the collections so that the event is immutable. */
  public Event {
    causes = List.copyOf(causes);
    fields = Map.copyOf(fields);
  }
}
