package org.ebonypond.server.http;

import java.util.UUID;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.server.entry.EntryParts;
import org.jspecify.annotations.Nullable;
import ratpack.http.Headers;

/**
 * The parsed headers of a caller's request, checked against the document in force.
 *
 * @param requestId the generated unique identifier of the request
 * @param document the document in force
 * @param workspace the name of a workspace of the document
 * @param priority 0 to 9; a higher value is more urgent
 * @param deadlineMillis when the answer must be complete, in milliseconds of this entry's monotonic
 *     clock
 */
record CallerHeaders(
    String requestId,
    ServiceDocument document,
    String workspace,
    int priority,
    long deadlineMillis) {
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_PRIORITY = 9;
  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  /**
   * Parses and checks the headers.
   *
   * @throws EbonypondException {@code no-capacity} before the first document, {@code view-stale},
   *     {@code unknown-workspace} or {@code bad-request}
   */
  static CallerHeaders read(Headers h, EntryParts parts) {
    ServiceDocument d = parts.currentDocument();
    String workspace = h.get("Ebonypond-Workspace");
    if (workspace == null || d.workspace(workspace).isEmpty()) {
      throw new EbonypondException(ErrorCode.UNKNOWN_WORKSPACE, workspace == null ? "" : workspace);
    }
    long deadline =
        number(
            h.get("Ebonypond-Deadline-Ms"),
            "Ebonypond-Deadline-Ms",
            1,
            MAX_DEADLINE_MILLIS,
            d.limits().defaultDeadlineMillis());
    long priority =
        number(
            h.get("Ebonypond-Priority"), "Ebonypond-Priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY);
    return new CallerHeaders(
        UUID.randomUUID().toString(),
        d,
        workspace,
        (int) priority,
        parts.timers().nowMillis() + deadline);
  }

  /**
   * Parses a whole number.
   *
   * @throws EbonypondException {@code bad-request} if the text is not a number within the bounds
   */
  static long number(@Nullable String text, String name, long min, long max, long defaultValue) {
    if (text == null) {
      return defaultValue;
    }
    long v = text.matches("[0-9]{1,12}") ? Long.parseLong(text) : -1;
    if (v < min || v > max) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST,
          name + " \"" + text + "\" is not a whole number from " + min + " to " + max);
    }
    return v;
  }
}
