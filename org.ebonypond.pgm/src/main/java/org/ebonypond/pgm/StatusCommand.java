package org.ebonypond.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints the state of the system as one entry sees it. */
@Command(name = "status", description = "Print the entries, groups and instances of the system")
public class StatusCommand extends EntryCommand {
  @Override
  void run(ToolContext ctx) {
    Answer a = client(ctx).get("/admin/v1/status");
    JsonNode s = parse(a);
    if (json()) {
      ctx.out().println(s);
      return;
    }
    print(s, ctx.out());
  }

  private static void print(JsonNode s, PrintStream out) {
    out.printf("entry      %s (%s, %s)%n", text(s, "node"), text(s, "address"), text(s, "zone"));
    String fresh = s.path("viewFresh").asBoolean() ? "fresh" : "stale";
    out.printf("view       index %s, %s%n", text(s, "viewIndex"), fresh);
    out.printf("ready      %s%n", s.path("ready").asBoolean() ? "yes" : "no");
    out.printf("leader     %s%n", text(s, "leader"));
    out.printf("document   version %s%n", text(s.path("document"), "version"));
    out.printf("zones out  %s%n", join(s.path("zonesOut")));
    out.println();
    table(out, s.path("entries"), "node", "address");
    table(out, s.path("groups"), "group", "model", "version", "zone", "domain", "state", "members");
    table(out, s.path("instances"), "instance", "zone", "kind", "status");
  }

  private static void table(PrintStream out, JsonNode rows, String... columns) {
    if (rows.isEmpty()) {
      return;
    }
    List<List<String>> lines = new ArrayList<>();
    List<String> header = new ArrayList<>();
    for (String c : columns) {
      header.add(c.toUpperCase(Locale.ROOT));
    }
    lines.add(header);
    for (JsonNode r : rows) {
      List<String> line = new ArrayList<>();
      for (String c : columns) {
        line.add(r.path(c).isArray() ? join(r.path(c)) : text(r, c));
      }
      lines.add(line);
    }
    for (List<String> line : lines) {
      StringBuilder b = new StringBuilder();
      for (int i = 0; i < columns.length; i++) {
        int column = i;
        int width = lines.stream().mapToInt(l -> l.get(column).length()).max().orElse(0);
        b.append(String.format("%-" + (width + 2) + "s", line.get(i)));
      }
      out.println(b.toString().stripTrailing());
    }
    out.println();
  }

  private static String text(JsonNode n, String key) {
    JsonNode v = n.path(key);
    return v.isMissingNode() || v.isNull() || v.asText().isEmpty() ? "-" : v.asText();
  }

  private static String join(JsonNode array) {
    List<String> out = new ArrayList<>();
    array.forEach(n -> out.add(n.isValueNode() ? n.asText() : text(n, "instance")));
    return out.isEmpty() ? "-" : String.join(",", out);
  }
}
