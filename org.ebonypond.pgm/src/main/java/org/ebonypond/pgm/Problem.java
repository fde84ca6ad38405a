package org.ebonypond.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The problem details (RFC 9457) of an answer.
 *
 * @param code the error code, for example {@code version-conflict}
 * @param detail the message for the operator
 * @param outcome {@code not-run}, {@code outcome-unknown}, {@code failed} or empty
 */
public record Problem(String code, String detail, String outcome) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads the problem of an answer; without one, the status and the body take its place. */
  public static Problem of(Answer a) {
    try {
      JsonNode n = JSON.readTree(a.body());
      if (n != null && n.hasNonNull("code")) {
        return new Problem(
            n.path("code").asText(), n.path("detail").asText(), n.path("outcome").asText());
      }
    } catch (JsonProcessingException e) {
      // A proxy may answer with an HTML page instead of JSON; the page becomes the detail.
    }
    return new Problem("http-" + a.status(), a.body().strip(), "");
  }

  /** Returns whether the request may succeed at another entry, or later at the same one. */
  public boolean isRetryable(int status) {
    return status == 503 || outcome.equals("outcome-unknown");
  }
}
