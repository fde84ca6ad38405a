package org.ebonypond.pgm;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the value of {@code --since}. */
final class Since {
  private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})([smh])");

  private Since() {}

  /**
   * Parses a point in time.
   *
   * @param text a time in ISO 8601, or a duration before now such as {@code 90s}
   * @param nowMillis wall time in milliseconds since the epoch
   * @return wall time in milliseconds since the epoch
   * @throws ToolException with {@code USAGE} if the text is neither
   */
  static long parse(String text, long nowMillis) {
    Matcher m = DURATION.matcher(text);
    if (m.matches()) {
      long unit = m.group(2).equals("s") ? 1_000 : m.group(2).equals("m") ? 60_000 : 3_600_000;
      return nowMillis - Long.parseLong(m.group(1)) * unit;
    }
    try {
      return Instant.parse(text).toEpochMilli();
    } catch (DateTimeParseException e) {
      throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_SINCE, text);
    }
  }
}
