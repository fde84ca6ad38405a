package org.ebonypond.junit.http;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Command-line arguments of the form {@code --key=value}. */
public final class Arguments {
  private final Map<String, String> values;
  private final Set<String> read = new TreeSet<>();

  private Arguments(Map<String, String> values) {
    this.values = values;
  }

  /**
   * Parses arguments.
   *
   * @param args the arguments
   * @throws IllegalArgumentException if one does not have the form {@code --key=value}
   */
  public static Arguments parse(String... args) {
    Map<String, String> values = new HashMap<>();
    for (String a : args) {
      int eq = a.indexOf('=');
      if (!a.startsWith("--") || eq < 3) {
        throw new IllegalArgumentException(a + ": arguments must have the form --key=value");
      }
      values.put(a.substring(2, eq), a.substring(eq + 1));
    }
    return new Arguments(values);
  }

  /** Returns the value of a required argument. */
  public String text(String key) {
    read.add(key);
    String v = values.get(key);
    if (v == null || v.isEmpty()) {
      throw new IllegalArgumentException("--" + key + " is required; add --" + key + "=VALUE");
    }
    return v;
  }

  /** Returns the value of an argument, or a default if it is absent. */
  public String text(String key, String fallback) {
    read.add(key);
    return values.getOrDefault(key, fallback);
  }

  /** Returns a non-negative integer, or a default if the argument is absent. */
  public long number(String key, long fallback) {
    String v = text(key, String.valueOf(fallback));
    if (!v.matches("[0-9]{1,15}")) {
      throw new IllegalArgumentException(
          "--" + key + "=" + v + ": must be an integer of at most 15 digits, at least 0");
    }
    return Long.parseLong(v);
  }

  /** Returns a ratio from 0 to 1, or a default if the argument is absent. */
  public double ratio(String key, double fallback) {
    double d = Double.parseDouble(text(key, String.valueOf(fallback)));
    if (!(d >= 0 && d <= 1)) {
      throw new IllegalArgumentException("--" + key + "=" + d + ": must be a ratio from 0 to 1");
    }
    return d;
  }

  /** Returns the elements of a comma-separated value; empty if the key is absent. */
  public List<String> list(String key) {
    String v = text(key, "");
    return v.isEmpty() ? List.of() : Arrays.asList(v.split(","));
  }

  /**
   * Rejects arguments that no accessor has read. Call it after reading all known arguments.
   *
   * @throws IllegalArgumentException if an argument was not read
   */
  public void rejectUnknown() {
    for (String k : values.keySet()) {
      if (!read.contains(k)) {
        throw new IllegalArgumentException(
            "--" + k + " is unknown; the known arguments are " + read);
      }
    }
  }
}
