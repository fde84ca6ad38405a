package org.ebonypond.junit.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;

/** An event sink that records the codes of all events. Not thread-safe. */
public final class RecordingEvents implements EventSink {
  private final List<EventCode> codes = new ArrayList<>();

  @Override
  public String emit(
      EventCode code, String subject, List<String> causes, Map<String, String> fields) {
    codes.add(code);
    return "test/" + codes.size();
  }

  /** Returns the number of events with a code. */
  public long count(EventCode code) {
    return codes.stream().filter(code::equals).count();
  }
}
