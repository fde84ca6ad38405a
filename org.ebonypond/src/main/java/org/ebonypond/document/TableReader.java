package org.ebonypond.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads and validates the keys of one TOML table. Each error names the line, the key and a remedy.
 * Call {@link #rejectUnknownKeys} after the last read.
 */
public final class TableReader {
  private final TomlTable table;
  private final String path;
  private final int firstLine;
  private final Set<String> known = new TreeSet<>();

  /**
   * Creates a reader.
   *
   * @param table the parsed table
   * @param path the prefix for the key in messages, for example {@code model.}
   * @param firstLine the line to report for a missing key, from 1
   */
  public TableReader(TomlTable table, String path, int firstLine) {
    this.table = table;
    this.path = path;
    this.firstLine = firstLine;
  }

  /** Returns a string that must be present and not blank. */
  public String string(String key, String example) {
    return requireValue(key, example, value(key, String.class, "a string"));
  }

  /** Returns a string or the default. */
  public String string(String key, String example, String defaultValue) {
    String v = value(key, String.class, "a string");
    return v == null ? defaultValue : string(key, example);
  }

  /** Returns a name: letters, digits, dots, underscores and hyphens, at most 64 characters. */
  public String name(String key, String example) {
    String v = string(key, example);
    if (!v.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
      throw badValue(
          key,
          "\"" + v + "\" is not a name",
          "use at most 64 letters, digits, dots, underscores and hyphens, for example " + example);
    }
    return v;
  }

  /** Returns an integer that must be present and within the bounds. */
  public int integer(String key, int min, int max) {
    Long v = value(key, Long.class, "a whole number");
    if (v == null) {
      throw missing(key, key + " = " + min);
    }
    return bounded(key, v, min, max);
  }

  /** Returns an integer within the bounds, or the default. */
  public int integer(String key, int min, int max, int defaultValue) {
    Long v = value(key, Long.class, "a whole number");
    return v == null ? defaultValue : bounded(key, v, min, max);
  }

  /** Returns a boolean or the default. */
  public boolean bool(String key, boolean defaultValue) {
    Boolean v = value(key, Boolean.class, "true or false");
    return v == null ? defaultValue : v;
  }

  /** Returns a list of strings, empty when the key is absent. */
  public List<String> strings(String key) {
    TomlArray a = value(key, TomlArray.class, "a list of strings");
    List<String> out = new ArrayList<>();
    for (int i = 0; a != null && i < a.size(); i++) {
      if (!(a.get(i) instanceof String s) || s.isBlank()) {
        throw badValue(key, "item " + (i + 1) + " is not a string", "quote it");
      }
      if (out.contains(s)) {
        throw badValue(key, "\"" + s + "\" is listed twice", "remove one");
      }
      out.add(s);
    }
    return out;
  }

  /** Returns the readers of an array of tables, empty when the key is absent. */
  public List<TableReader> tables(String key) {
    TomlArray a = value(key, TomlArray.class, "an array of tables, written [[" + key + "]]");
    List<TableReader> out = new ArrayList<>();
    for (int i = 0; a != null && i < a.size(); i++) {
      if (!(a.get(i) instanceof TomlTable t)) {
        throw badValue(key, "item " + (i + 1) + " is not a table", "write [[" + key + "]]");
      }
      out.add(new TableReader(t, path + key + ".", a.inputPositionOf(i).line()));
    }
    return out;
  }

  /** Returns the reader of a table, or null when the key is absent. */
  public @Nullable TableReader table(String key) {
    TomlTable t = value(key, TomlTable.class, "a table, written [" + key + "]");
    return t == null ? null : new TableReader(t, path + key + ".", line(key));
  }

  /**
   * Rejects keys that were not read.
   *
   * @throws EbonypondException {@code document-unknown-key}
   */
  public void rejectUnknownKeys() {
    for (String k : table.keySet()) {
      if (!known.contains(k)) {
        throw new EbonypondException(
            ErrorCode.DOCUMENT_UNKNOWN_KEY,
            String.valueOf(line(k)),
            path + k,
            String.join(", ", known));
      }
    }
  }

  /** Returns the line of a key, or of the table when the key is absent; from 1. */
  public int line(String key) {
    TomlPosition p = table.inputPositionOf(List.of(key));
    return p == null ? firstLine : p.line();
  }

  /** Returns the exception for an invalid value. */
  public EbonypondException badValue(String key, String problem, String remedy) {
    return new EbonypondException(
        ErrorCode.DOCUMENT_BAD_VALUE, String.valueOf(line(key)), path + key, problem, remedy);
  }

  /** Returns the exception for a reference to an undeclared name. */
  public EbonypondException badReference(String key, String value, String tableName) {
    return new EbonypondException(
        ErrorCode.DOCUMENT_BAD_REFERENCE, String.valueOf(line(key)), path + key, value, tableName);
  }

  private EbonypondException missing(String key, String example) {
    return new EbonypondException(
        ErrorCode.DOCUMENT_MISSING_KEY, String.valueOf(firstLine), path + key, example);
  }

  private String requireValue(String key, String example, @Nullable String v) {
    if (v == null) {
      throw missing(key, key + " = \"" + example + "\"");
    }
    if (v.isBlank()) {
      throw badValue(key, "is blank", "set it, for example to \"" + example + "\"");
    }
    return v;
  }

  private int bounded(String key, long v, int min, int max) {
    if (v < min || v > max) {
      throw badValue(key, v + " is out of range", "use a value from " + min + " to " + max);
    }
    return (int) v;
  }

  private <T> @Nullable T value(String key, Class<T> type, String expected) {
    known.add(key);
    Object v = table.get(List.of(key));
    if (v == null) {
      return null;
    }
    if (!type.isInstance(v)) {
      throw badValue(key, "is not " + expected, "write " + expected);
    }
    return type.cast(v);
  }
}
