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

/** Reads the events of all entries. Each read returns only the events since the last one. */
final class EventReader {
  private static final int MAX_PAGES = 1_000;
  private final EntryClient client;
  private final PrintStream err;
  private final Map<String, Long> lastSequences = new HashMap<>();
  private int answeredEntries;

  EventReader(EntryClient client, PrintStream err) {
    this.client = client;
    this.err = err;
  }

  /**
   * Reads the events since the last read from every entry that the status lists. An entry that
   * cannot be reached is reported and skipped.
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
    answeredEntries = 0;
    List<Event> out = new ArrayList<>();
    for (String entry : addresses) {
      try {
        readEntry(entry, out);
        answeredEntries++;
      } catch (IOException | IllegalArgumentException e) {
        err.println(ToolMessage.NOT_REACHED.format(entry, e.getMessage()));
      }
    }
    if (answeredEntries == 0) {
      throw new ToolException(
          ExitCode.UNREACHABLE, ToolMessage.UNREACHABLE, String.join(", ", addresses));
    }
    return out;
  }

  /** Returns the number of entries that answered the last read. */
  int answeredEntries() {
    return answeredEntries;
  }

  private void readEntry(String entry, List<Event> out) throws IOException {
    for (int page = 0; page < MAX_PAGES; page++) {
      long after = lastSequences.getOrDefault(entry, 0L);
      Answer a = client.getFrom(entry, "/admin/v1/events?after=" + after);
      if (!a.ok()) {
        throw new IOException(Problem.of(a).detail());
      }
      JsonNode n = ToolCommand.parse(a);
      long next = n.path("next").asLong(after);
      if (next < after) {
        // The entry has restarted, and its event numbers have started again from 0.
        lastSequences.put(entry, 0L);
        continue;
      }
      String node = n.path("node").asText();
      n.path("events").forEach(e -> parseEvent(node, e).ifPresent(out::add));
      lastSequences.put(entry, next);
      if (n.path("events").isEmpty() || next == after) {
        return;
      }
    }
  }

  private static Optional<Event> parseEvent(String node, JsonNode n) {
    return parseCode(n)
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

  /** Returns the code of an event, or empty if the event comes from a newer release. */
  private static Optional<EventCode> parseCode(JsonNode n) {
    String code = n.path("code").asText();
    for (EventCode c : EventCode.values()) {
      boolean matches = c.name().equals(code) || String.valueOf(c.number()).equals(code);
      if (matches || c.label().equals(n.path("label").asText())) {
        return Optional.of(c);
      }
    }
    return Optional.empty();
  }
}
