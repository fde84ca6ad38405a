package org.ebonypond.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An RFC 9457 problem.
 *
 * @param code the error code, for example {@code version-conflict}
 * @param detail the text for the operator
 * @param outcome {@code not-run}, {@code outcome-unknown}, {@code failed} or empty
 */
public record Problem(String code, String detail, String outcome) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads the problem of an answer; an answer without one yields its status and body. */
  public static Problem of(Answer a) {
    try {
      JsonNode n = JSON.readTree(a.body());
      if (n != null && n.hasNonNull("code")) {
        return new Problem(
            n.path("code").asText(), n.path("detail").asText(), n.path("outcome").asText());
      }
    } catch (JsonProcessingException e) {
      // A proxy on the way may answer with a page instead of JSON; its text is the detail.
    }
    return new Problem("http-" + a.status(), a.body().strip(), "");
  }

  /** Returns whether another entry, or the same one later, may take the request. */
  public boolean mayPass(int status) {
    return status == 503 || outcome.equals("outcome-unknown");
  }
}
