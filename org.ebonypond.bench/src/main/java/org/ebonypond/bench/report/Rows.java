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

/** The rows of one report, in the order in which they were added. */
public final class Rows {
  private final Map<String, Row> byId = new LinkedHashMap<>();

  /** Creates an empty report. */
  public Rows() {}

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if a row has this identifier already: references to it would
   *     be ambiguous
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
    return row(id).value();
  }

  /**
   * Returns a row.
   *
   * @throws IllegalArgumentException if there is no such row
   */
  public Row row(String id) {
    Row r = byId.get(id);
    if (r == null) {
      throw new IllegalArgumentException("no row " + id);
    }
    return r;
  }

  /** Returns whether there is a row with this identifier. */
  public boolean contains(String id) {
    return byId.containsKey(id);
  }

  /** Returns an independent copy. */
  public Rows copy() {
    Rows r = new Rows();
    r.byId.putAll(byId);
    return r;
  }

  /**
   * Parses the CSV form. Only the last field of a line may be quoted.
   *
   * @throws IllegalArgumentException if a line has fewer than four fields
   */
  public static Rows parse(List<String> csv) {
    Rows rows = new Rows();
    for (String line : csv.subList(1, csv.size())) {
      String[] fields = line.split(",", 4);
      if (fields.length < 4) {
        throw new IllegalArgumentException("a row needs four fields: " + line);
      }
      rows.add(fields[0], Double.parseDouble(fields[1]), fields[2], unquote(fields[3]));
    }
    return rows;
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

  /** Returns the lines of the text form, without a header. */
  public List<String> text() {
    List<String> out = new ArrayList<>();
    for (Row r : byId.values()) {
      out.add(
          String.format(
              Locale.ROOT, "%-38s %16s %-16s %s", r.id(), r.text(), r.unit(), r.source()));
    }
    return out;
  }

  /**
   * Writes {@code report.csv} and {@code report.txt}.
   *
   * @param header the first lines of the text file
   */
  public void write(Path folder, List<String> header) throws IOException {
    Files.createDirectories(folder);
    Files.write(folder.resolve("report.csv"), csv());
    List<String> lines = new ArrayList<>(header);
    lines.addAll(text());
    Files.write(folder.resolve("report.txt"), lines);
  }

  private static String unquote(String field) {
    if (!field.startsWith("\"")) {
      return field;
    }
    return field.substring(1, field.length() - 1).replace("\"\"", "\"");
  }

  private static String quote(String field) {
    if (field.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n')) {
      return field;
    }
    return '"' + field.replace("\"", "\"\"") + '"';
  }
}
