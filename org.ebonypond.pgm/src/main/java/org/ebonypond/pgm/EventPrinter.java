package org.ebonypond.pgm;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.TreeMap;
import org.ebonypond.events.Event;

/** Prints each event on one line, as text or JSON. */
final class EventPrinter {
  private final PrintStream out;
  private final boolean json;

  EventPrinter(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  void print(Event e) {
    out.println(json ? json(e).toString() : line(e));
  }

  static String line(Event e) {
    StringBuilder b = new StringBuilder();
    b.append(Instant.ofEpochMilli(e.time().wallMillis()));
    b.append('.').append(e.time().counter());
    b.append(' ').append(e.code().label()).append(' ').append(e.code().name());
    b.append(' ').append(e.id()).append(' ').append(e.subject());
    new TreeMap<>(e.fields()).forEach((k, v) -> b.append(' ').append(k).append('=').append(v));
    if (!e.causes().isEmpty()) {
      b.append(" causes=").append(String.join(",", e.causes()));
    }
    return b.toString();
  }

  private static ObjectNode json(Event e) {
    ObjectNode n = ToolCommand.JSON.createObjectNode().put("id", e.id()).put("node", e.node());
    n.put("wallMillis", e.time().wallMillis()).put("counter", e.time().counter());
    n.put("code", e.code().name()).put("label", e.code().label()).put("subject", e.subject());
    e.causes().forEach(n.putArray("causes")::add);
    ObjectNode fields = n.putObject("fields");
    new TreeMap<>(e.fields()).forEach(fields::put);
    return n;
  }
}
