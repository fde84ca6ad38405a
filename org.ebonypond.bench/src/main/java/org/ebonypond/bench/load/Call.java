package org.ebonypond.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import org.ebonypond.junit.http.EngineContent;
import org.jspecify.annotations.Nullable;

/**
 * One request that the tool sends; it can tell whether an answer is correct.
 *
 * @param number the sequence number of the request, from 0
 * @param workspace the name of the workspace
 * @param completion whether it is a completion; otherwise it is a refund with an idempotency key
 * @param prompt the text of the prompt, or the body of the refund
 * @param tokens the length of the answer in tokens; 0 for a refund
 * @param key the idempotency key, or null for a completion
 */
record Call(
    long number,
    String workspace,
    boolean completion,
    String prompt,
    int tokens,
    @Nullable String key) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;

  HttpRequest request(String entry, String model, String service, Duration deadline) {
    String path = completion ? "/v1/chat/completions" : "/services/" + service + "/refunds";
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://" + entry + path))
            .timeout(deadline.plusSeconds(1))
            .header("Content-Type", "application/json")
            .header("Ebonypond-Workspace", workspace)
            .header("Ebonypond-Deadline-Ms", String.valueOf(deadline.toMillis()));
    if (key != null) {
      b.header("Idempotency-Key", key);
    }
    return b.POST(HttpRequest.BodyPublishers.ofString(completion ? body(model) : prompt)).build();
  }

  private String body(String model) {
    ObjectNode n = JSON.createObjectNode().put("model", model).put("max_tokens", tokens);
    n.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return n.toString();
  }

  /** Returns the verdict on an answer, whatever its latency. */
  Verdict verdict(int status, String text) {
    JsonNode n;
    try {
      n = JSON.readTree(text);
    } catch (JsonProcessingException e) {
      return Verdict.WRONG;
    }
    if (status == OK || (!completion && status / 100 == 2)) {
      return isCorrect(n) ? Verdict.CORRECT : Verdict.WRONG;
    }
    return switch (n.path("outcome").asText()) {
      case "not-run" -> Verdict.NOT_RUN;
      case "outcome-unknown" -> Verdict.UNKNOWN;
      default -> Verdict.FAILED;
    };
  }

  private boolean isCorrect(JsonNode n) {
    if (!completion) {
      return n.path("key").asText().equals(key);
    }
    String content = n.path("choices").path(0).path("message").path("content").asText();
    return content.equals(EngineContent.text("user: " + prompt + "\n", 0, tokens));
  }
}
