package org.ebonypond.events;

import java.util.List;
import java.util.Map;

/** Receives events. Implementations are thread-safe and do not block. */
public interface EventSink {
  /** A sink that discards every event. */
  EventSink NONE = (code, subject, causes, fields) -> "";

  /**
   * Records an event.
   *
   * @param code the numbered code
   * @param subject the entity that the event concerns, for example {@code group/g1}
   * @param causes the identifiers of the events that led to this one
   * @param fields additional values, for display
   * @return the identifier of the recorded event
   */
  String emit(EventCode code, String subject, List<String> causes, Map<String, String> fields);

  /** Records an event without causes or fields. */
  default String emit(EventCode code, String subject) {
    return emit(code, subject, List.of(), Map.of());
  }

  /** Records an event without causes. */
  default String emit(EventCode code, String subject, Map<String, String> fields) {
    return emit(code, subject, List.of(), fields);
  }
}
