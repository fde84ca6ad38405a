package org.ebonypond.bench.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The rows of one report in the order of their measurement. */
public final class Rows {
  private final Map<String, Row> byId = new LinkedHashMap<>();

  /** Creates an empty report. */
  public Rows() {}

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if the identifier is taken: a reference to it would be
   *     ambiguous
   */
  public void add(String id, double value, String unit, String source) {
    if (byId.putIfAbsent(id, new Row(id, value, unit, source)) != null) {
      throw new IllegalArgumentException("duplicate row identifier: " + id);
    }
  }

  /**
   * Returns the value of a row.
   *
   * @throws IllegalArgumentException if there is no such row
   */
  public double value(String id) {
    Row r = byId.get(id);
    if (r == null) {
      throw new IllegalArgumentException("no row " + id);
    }
    return r.value();
  }

  /** Returns all rows. */
  public Collection<Row> all() {
    return List.copyOf(byId.values());
  }

  /** Returns the lines of the CSV form, with a header. */
  public List<String> csv() {
    List<String> out = new ArrayList<>();
    out.add("id,value,unit,source");
    for (Row r : byId.values()) {
      out.add(String.join(",", r.id(), r.text(), quote(r.unit()), quote(r.source())));
    }
    return out;
  }

  /** Returns the lines of the text form. */
  public List<String> text() {
    List<String> out = new ArrayList<>();
    for (Row r : byId.values()) {
      out.add(
          String.format(
              Locale.ROOT, "%-38s %16s %-16s %s", r.id(), r.text(), r.unit(), r.source()));
    }
    return out;
  }

  /** Writes {@code report.csv} and {@code report.txt}; the text begins with header lines. */
  public void write(Path folder, List<String> header) throws IOException {
    Files.createDirectories(folder);
    Files.write(folder.resolve("report.csv"), csv());
    List<String> lines = new ArrayList<>(header);
    lines.addAll(text());
    Files.write(folder.resolve("report.txt"), lines);
  }

  private static String quote(String field) {
    if (field.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n')) {
      return field;
    }
    return '"' + field.replace("\"", "\"\"") + '"';
  }
}
