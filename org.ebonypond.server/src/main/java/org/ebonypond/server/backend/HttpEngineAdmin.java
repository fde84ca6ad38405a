package org.ebonypond.server.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.EngineStatus;

/** Implementation of {@link EngineAdmin} over HTTP. */
public final class HttpEngineAdmin implements EngineAdmin {
  /** Below the order timeout of 2 s, in milliseconds; includes the time to connect. */
  private static final long TIMEOUT_MILLIS = 1_900;

  /** The state of an engine names the members of one group and takes less than 1 KiB for each. */
  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private static final int OK = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final BackendHttpClient client;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   */
  public HttpEngineAdmin(BackendHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<EngineState> readState(String address) {
    return call(HttpMethod.GET, address, "/control/state", "").thenApply(HttpEngineAdmin::state);
  }

  @Override
  public CompletableFuture<Void> send(String address, EngineOrder order) {
    ObjectNode n = json.createObjectNode();
    n.put("fencing", order.fencing());
    n.put("type", order.type().name().toLowerCase(Locale.ROOT));
    n.put("model", order.model());
    n.put("version", order.version());
    n.set("adapters", json.valueToTree(order.adapters()));
    n.put("group", order.group());
    n.put("rank", order.rank());
    n.set("members", json.valueToTree(order.members()));
    return call(HttpMethod.POST, address, "/control/orders", n.toString()).thenApply(r -> null);
  }

  private CompletableFuture<JsonNode> call(
      HttpMethod method, String address, String path, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    HttpRequest head;
    try {
      head = BackendHttpClient.request(method.name(), address, path);
    } catch (IllegalArgumentException e) {
      return CompletableFuture.failedFuture(e);
    }
    // An order must not be lost with a connection that the engine has just closed.
    head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (bytes.length > 0) {
      head.headers()
          .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
          .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    }
    return client
        .call(address, head, bytes, TIMEOUT_MILLIS, MAX_ANSWER_BYTES)
        .thenApply(
            a -> {
              if (a.status() != OK) {
                throw failed(path + " returned status " + a.status());
              }
              return parse(new String(a.body(), StandardCharsets.UTF_8));
            });
  }

  private JsonNode parse(String text) {
    try {
      return json.readTree(text.isEmpty() ? "{}" : text);
    } catch (JsonProcessingException e) {
      throw failed("the answer of the engine is not JSON: " + e.getOriginalMessage());
    }
  }

  private static EngineState state(JsonNode n) {
    List<String> members = new ArrayList<>();
    n.path("members").forEach(m -> members.add(m.asText()));
    return new EngineState(
        n.path("instance").asText(),
        n.path("boot").asText(),
        status(n.path("status").asText()),
        n.path("group").asText(""),
        n.path("rank").asInt(-1),
        members,
        n.path("model").asText(""),
        n.path("version").asText(""),
        n.path("fencing").asLong());
  }

  /**
   * Returns the status with a name on the wire, which is in lower case.
   *
   * @throws EbonypondException {@code bad-request} if no status has the name
   */
  public static EngineStatus status(String name) {
    for (EngineStatus s : EngineStatus.values()) {
      if (s.name().toLowerCase(Locale.ROOT).equals(name)) {
        return s;
      }
    }
    throw new EbonypondException(ErrorCode.BAD_REQUEST, "status \"" + name + "\" is not known");
  }

  private static EbonypondException failed(String detail) {
    return new EbonypondException(ErrorCode.UPSTREAM_FAILED, detail);
  }
}
