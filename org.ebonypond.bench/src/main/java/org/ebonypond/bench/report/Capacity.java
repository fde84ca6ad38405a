package org.ebonypond.bench.report;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;

/**
 * Computes the figures of {@code docs/CAPACITY.md} from a report. The formulas are in the resource
 * {@code capacity.txt}, one per line: {@code id | formula | unit | limit}. A formula may refer to
 * rows and to the figures above it. A limit is the maximum of the figure, or its minimum if it
 * begins with {@code >}; it may be empty.
 */
public final class Capacity {
  private static final String FORMULAS = "capacity.txt";
  private static final String SOURCE = "Capacity";

  private final List<String> formulas;

  Capacity(List<String> formulas) {
    this.formulas = List.copyOf(formulas);
  }

  /**
   * Prints the figures as Markdown, followed by a table of the rows that they refer to. The
   * argument is the path of a {@code report.csv}.
   */
  public static void main(String[] args) throws IOException {
    Rows rows = Rows.parse(Files.readAllLines(Path.of(args[0])));
    Capacity c = standard();
    c.markdown(rows).forEach(System.out::println);
  }

  /** Returns the formulas of the capacity page. */
  public static Capacity standard() throws IOException {
    try (InputStream in = Objects.requireNonNull(Capacity.class.getResourceAsStream(FORMULAS))) {
      return new Capacity(new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList());
    }
  }

  /**
   * Returns one line for each figure, followed by a table of the rows that the formulas refer to.
   *
   * @throws IllegalArgumentException if a row is missing
   */
  public List<String> markdown(Rows report) {
    Rows all = report.copy();
    Set<String> used = new LinkedHashSet<>();
    List<String> out = new ArrayList<>();
    out.add("| figure | value | limit | holds | arithmetic |");
    out.add("| --- | --- | --- | --- | --- |");
    for (String line : formulas) {
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String[] parts = line.split("\\|", -1);
      String id = parts[0].trim();
      Formula f = new Formula(parts[1].trim());
      double value = f.value(all::value);
      all.add(id, value, parts[2].trim(), SOURCE);
      String limit = parts[3].trim();
      out.add(
          String.format(
              Locale.ROOT,
              "| `%s` | %s %s | %s | %s | `%s` = %s |",
              id,
              all.row(id).text(),
              parts[2].trim(),
              limit,
              limitStatus(value, limit),
              f.text(),
              f.withValues(all::value)));
      for (String part : f.text().split(" +")) {
        if (Character.isLetter(part.charAt(0)) && report.contains(part)) {
          used.add(part);
        }
      }
    }
    out.add("");
    out.add("| row | value | unit | source |");
    out.add("| --- | --- | --- | --- |");
    for (String id : used) {
      Row r = report.row(id);
      out.add("| `" + id + "` | " + r.text() + " | " + r.unit() + " | " + r.source() + " |");
    }
    return out;
  }

  /** Returns the text that says whether a value is within a limit; empty if there is no limit. */
  static String limitStatus(double value, String limit) {
    if (limit.isEmpty()) {
      return "";
    }
    boolean holds =
        limit.startsWith(">")
            ? value >= Double.parseDouble(limit.substring(1).trim())
            : value <= Double.parseDouble(limit);
    return holds ? "yes" : "does not hold yet";
  }
}
