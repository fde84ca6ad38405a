package org.ebonypond.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the outcomes reported to callers with the executions counted by the plain service
 * stand-ins.
 */
final class ExecutionChecker {
  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient client;
  private final String addresses;

  ExecutionChecker(HttpClient client, String addresses) {
    this.client = client;
    this.addresses = addresses;
  }

  /**
   * Returns one line for each key that ran more than once, or ran although its caller was told that
   * it was not run.
   *
   * @param notRunKeys the keys whose last answer said that the call was not run
   */
  List<String> faults(List<String> notRunKeys) throws Exception {
    if (addresses.isEmpty()) {
      return List.of();
    }
    Map<String, Integer> executions = new HashMap<>();
    for (String address : addresses.split(",")) {
      HttpRequest r =
          HttpRequest.newBuilder(URI.create("http://" + address + "/judge/executions")).build();
      String body = client.send(r, HttpResponse.BodyHandlers.ofString()).body();
      for (Map.Entry<String, JsonNode> e : json.readTree(body).properties()) {
        executions.merge(e.getKey(), e.getValue().asInt(), Integer::sum);
      }
    }
    List<String> out = new ArrayList<>();
    executions.forEach(
        (key, n) -> {
          if (n > 1) {
            out.add("FAULT: " + key + " ran " + n + " times");
          }
        });
    for (String key : notRunKeys) {
      if (executions.getOrDefault(key, 0) > 0) {
        out.add("FAULT: " + key + " ran although its caller was told that it was not run");
      }
    }
    return out;
  }
}
