package org.ebonypond.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * A blocked request or prompt part as it is kept in the log, so that it stays blocked when all
 * processes stop at the same time.
 *
 * @param part the identifier of the request or part
 * @param wholeRequest whether a request with all its repetitions is blocked
 * @param crashes some of its crashes; parts with the same ones are blocked only together
 */
public record BlockedPart(long part, boolean wholeRequest, List<Long> crashes) {
  private static final String SEPARATOR = ":";
  private static final String REQUEST_PREFIX = "r";

  /**
   * Returns the identifier and the crashes in hexadecimal, separated by colons; a letter precedes
   * those of requests.
   */
  public String encode() {
    return (wholeRequest ? REQUEST_PREFIX : "")
        + Long.toHexString(part)
        + crashes.stream().map(c -> SEPARATOR + Long.toHexString(c)).collect(Collectors.joining());
  }

  /**
   * Reads what {@link #encode} returns.
   *
   * @throws EbonypondException {@code frame-invalid} if the text is malformed
   */
  public static BlockedPart decode(String text) {
    List<Long> numbers = new ArrayList<>();
    boolean wholeRequest = text.startsWith(REQUEST_PREFIX);
    String hex = wholeRequest ? text.substring(REQUEST_PREFIX.length()) : text;
    try {
      for (String s : hex.split(SEPARATOR)) {
        numbers.add(Long.parseUnsignedLong(s, 16));
      }
    } catch (NumberFormatException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, "blocked part " + text);
    }
    if (numbers.size() < 2) {
      throw new EbonypondException(ErrorCode.FRAME_INVALID, "blocked part without crashes " + text);
    }
    return new BlockedPart(
        numbers.get(0), wholeRequest, List.copyOf(numbers.subList(1, numbers.size())));
  }
}
