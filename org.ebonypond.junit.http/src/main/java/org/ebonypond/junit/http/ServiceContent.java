package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Generates the answers of the simulated plain service as a pure function of the call. */
public final class ServiceContent {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ServiceContent() {}

  /**
   * Returns the answer to a lookup.
   *
   * @param path the path, for example {@code orders/17}
   */
  public static String lookup(String path) {
    ObjectNode n = JSON.createObjectNode().put("path", path);
    return n.put("amount", (int) (EngineContent.hash(path) >>> 40) % 1000).toString();
  }

  /**
   * Returns the answer to a call that is not idempotent.
   *
   * @param path the path, for example {@code orders}
   * @param key the idempotency key, or an empty string
   * @param body the body of the call
   */
  public static String execution(String path, String key, String body) {
    String text = path + "\n" + key + "\n" + body;
    ObjectNode n = JSON.createObjectNode().put("path", path).put("key", key);
    n.put("bodyHash", Long.toHexString(EngineContent.hash(body)));
    return n.put("receipt", Long.toHexString(EngineContent.hash(text))).toString();
  }
}
