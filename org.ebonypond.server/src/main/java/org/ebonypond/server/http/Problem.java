package org.ebonypond.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Messages;
import org.ebonypond.errors.Outcome;

/**
 * An RFC 9457 problem details object.
 *
 * @param status the HTTP status
 * @param code the stable error code
 * @param outcome whether the request was run, as far as it is known
 * @param detail the message for the user
 * @param retryAfterSeconds the delay before a retry, in seconds, or -1 if a retry cannot help
 */
public record Problem(
    int status, ErrorCode code, Outcome outcome, String detail, int retryAfterSeconds) {
  /** The content type of a problem body. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int NO_RETRY = -1;
  private static final int DEFAULT_RETRY_SECONDS = 1;
  private static final int UNAVAILABLE = 503;
  // The HTTP status of each code; codes that are not listed map to 503.
  private static final Map<ErrorCode, Integer> STATUS =
      Map.ofEntries(
          Map.entry(ErrorCode.BAD_REQUEST, 400),
          Map.entry(ErrorCode.DOCUMENT_SYNTAX, 400),
          Map.entry(ErrorCode.DOCUMENT_UNKNOWN_KEY, 400),
          Map.entry(ErrorCode.DOCUMENT_MISSING_KEY, 400),
          Map.entry(ErrorCode.DOCUMENT_BAD_VALUE, 400),
          Map.entry(ErrorCode.DOCUMENT_BAD_REFERENCE, 400),
          Map.entry(ErrorCode.UNKNOWN_WORKSPACE, 403),
          Map.entry(ErrorCode.UNKNOWN_MODEL, 404),
          Map.entry(ErrorCode.UNKNOWN_SERVICE, 404),
          Map.entry(ErrorCode.UNKNOWN_ZONE, 404),
          Map.entry(ErrorCode.VERSION_CONFLICT, 409),
          Map.entry(ErrorCode.COMMAND_REJECTED, 409),
          Map.entry(ErrorCode.KEY_REUSED, 422),
          Map.entry(ErrorCode.KEY_EXPIRED, 422),
          Map.entry(ErrorCode.QUEUE_FULL, 429),
          Map.entry(ErrorCode.DEADLINE_TOO_CLOSE, 429),
          Map.entry(ErrorCode.INVARIANT_VIOLATED, 500),
          Map.entry(ErrorCode.UPSTREAM_FAILED, 502),
          Map.entry(ErrorCode.OUTCOME_UNKNOWN, 504));

  /** Returns the problem of a request that was not run and may be retried. */
  public static Problem notRun(ErrorCode code, int retryAfterSeconds, Object... arguments) {
    return new Problem(
        status(code),
        code,
        Outcome.NOT_RUN,
        Messages.format(code, arguments),
        Math.max(DEFAULT_RETRY_SECONDS, retryAfterSeconds));
  }

  /** Returns the problem of a request that was not run and cannot succeed unchanged. */
  public static Problem invalid(ErrorCode code, Object... arguments) {
    return rejected(code, Messages.format(code, arguments));
  }

  /** Same as {@link #invalid}, with a message that is already formatted. */
  public static Problem rejected(ErrorCode code, String message) {
    return new Problem(status(code), code, Outcome.NOT_RUN, message, NO_RETRY);
  }

  /** Returns the problem of a request that may have run. */
  public static Problem outcomeUnknown() {
    return new Problem(
        status(ErrorCode.OUTCOME_UNKNOWN),
        ErrorCode.OUTCOME_UNKNOWN,
        Outcome.OUTCOME_UNKNOWN,
        Messages.format(ErrorCode.OUTCOME_UNKNOWN),
        DEFAULT_RETRY_SECONDS);
  }

  /** Returns the problem of a request that ran and failed. */
  public static Problem failed(ErrorCode code, Object... arguments) {
    return new Problem(
        status(code),
        code,
        Outcome.FAILED,
        Messages.format(code, arguments),
        DEFAULT_RETRY_SECONDS);
  }

  /** Returns the problem of an exception that was thrown before the request was run. */
  public static Problem of(EbonypondException e) {
    int status = status(e.code());
    int retry = status >= 500 || status == 429 ? DEFAULT_RETRY_SECONDS : NO_RETRY;
    return new Problem(status, e.code(), Outcome.NOT_RUN, e.getMessage(), retry);
  }

  /** Returns the JSON body, without a request identifier if that is an empty string. */
  public String toJson(String requestId) {
    ObjectNode n = JSON.createObjectNode();
    n.put("type", "urn:ebonypond:problem:" + code.wireName());
    n.put("title", code.wireName());
    n.put("status", status);
    n.put("code", code.wireName());
    n.put("outcome", outcome.wireName());
    n.put("detail", detail);
    if (!requestId.isEmpty()) {
      n.put("requestId", requestId);
    }
    if (retryAfterSeconds >= 0) {
      n.put("retryAfterSeconds", retryAfterSeconds);
    }
    return n.toString();
  }

  private static int status(ErrorCode code) {
    return STATUS.getOrDefault(code, UNAVAILABLE);
  }
}
