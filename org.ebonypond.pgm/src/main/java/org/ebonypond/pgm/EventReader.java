package org.ebonypond.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonypond.events.Event;
import org.ebonypond.events.EventCode;
import org.ebonypond.time.HybridTimestamp;

/** Reads the events of all entries. Keeps the position in each, so that a second read goes on. */
final class EventReader {
  private static final int MAX_PAGES = 1_000;
  private final EntryClient client;
  private final PrintStream err;
  private final Map<String, Long> positions = new HashMap<>();
  private int answered;

  EventReader(EntryClient client, PrintStream err) {
    this.client = client;
    this.err = err;
  }

  /**
   * Reads the events that are new since the last read, from every entry that the status lists. An
   * entry that cannot be reached is reported and passed over.
   *
   * @throws ToolException with {@code UNREACHABLE} if no entry can be reached
   */
  List<Event> read() {
    Answer a = client.get("/admin/v1/status");
    List<String> addresses = new ArrayList<>();
    for (JsonNode e : ToolCommand.parse(a).path("entries")) {
      addresses.add(e.path("address").asText());
    }
    if (addresses.isEmpty()) {
      addresses.add(a.entry());
    }
    answered = 0;
    List<Event> out = new ArrayList<>();
    for (String entry : addresses) {
      try {
        readEntry(entry, out);
        answered++;
      } catch (IOException | IllegalArgumentException e) {
        err.println(ToolMessage.NOT_REACHED.format(entry, e.getMessage()));
      }
    }
    if (answered == 0) {
      throw new ToolException(
          ExitCode.UNREACHABLE, ToolMessage.UNREACHABLE, String.join(", ", addresses));
    }
    return out;
  }

  /** Returns how many entries answered the last read. */
  int answered() {
    return answered;
  }

  private void readEntry(String entry, List<Event> out) throws IOException {
    for (int page = 0; page < MAX_PAGES; page++) {
      long after = positions.getOrDefault(entry, 0L);
      Answer a = client.getFrom(entry, "/admin/v1/events?after=" + after);
      if (!a.ok()) {
        throw new IOException(Problem.of(a).detail());
      }
      JsonNode n = ToolCommand.parse(a);
      long next = n.path("next").asLong(after);
      if (next < after) {
        // The entry has restarted and numbers its events from the start.
        positions.put(entry, 0L);
        continue;
      }
      String node = n.path("node").asText();
      n.path("events").forEach(e -> event(node, e).ifPresent(out::add));
      positions.put(entry, next);
      if (n.path("events").isEmpty() || next == after) {
        return;
      }
    }
  }

  private static Optional<Event> event(String node, JsonNode n) {
    return code(n)
        .map(
            code -> {
              List<String> causes = new ArrayList<>();
              n.path("causes").forEach(c -> causes.add(c.asText()));
              Map<String, String> fields = new LinkedHashMap<>();
              n.path("fields").properties().forEach(f -> put(fields, f));
              return new Event(
                  n.path("id").asText(),
                  new HybridTimestamp(n.path("wallMillis").asLong(), n.path("counter").asInt()),
                  n.path("node").asText(node),
                  code,
                  n.path("subject").asText(),
                  causes,
                  fields);
            });
  }

  private static void put(Map<String, String> fields, Map.Entry<String, JsonNode> f) {
    fields.put(f.getKey(), f.getValue().asText());
  }

  /** Events of a newer release, whose codes this tool does not know, are passed over. */
  private static Optional<EventCode> code(JsonNode n) {
    String code = n.path("code").asText();
    for (EventCode c : EventCode.values()) {
      boolean same = c.name().equals(code) || String.valueOf(c.number()).equals(code);
      if (same || c.label().equals(n.path("label").asText())) {
        return Optional.of(c);
      }
    }
    return Optional.empty();
  }
}
