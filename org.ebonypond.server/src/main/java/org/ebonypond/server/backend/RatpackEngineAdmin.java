package org.ebonypond.server.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.EngineStatus;
import ratpack.exec.ExecController;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.RequestSpec;

/** Implementation of {@link EngineAdmin} over HTTP. */
public final class RatpackEngineAdmin implements EngineAdmin {
  // The sum of the two timeouts is below the order timeout of 2 s.
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration READ_TIMEOUT = Duration.ofMillis(1_400);
  private static final int OK = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final ExecController controller;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param controller runs the HTTP calls
   * @param client the HTTP client
   */
  public RatpackEngineAdmin(ExecController controller, HttpClient client) {
    this.controller = controller;
    this.client = client;
  }

  @Override
  public CompletableFuture<EngineState> readState(String address) {
    return call(address, "/control/state", s -> s.get()).thenApply(RatpackEngineAdmin::state);
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
    String body = n.toString();
    return call(
            address,
            "/control/orders",
            s -> s.post().body(b -> b.type("application/json").text(body)))
        .thenApply(r -> null);
  }

  private CompletableFuture<JsonNode> call(
      String address, String path, Action<? super RequestSpec> action) {
    CompletableFuture<JsonNode> out = new CompletableFuture<>();
    controller
        .fork()
        .onError(out::completeExceptionally)
        .start(
            e ->
                client
                    .request(
                        // Here, a malformed address fails this call and not its caller.
                        URI.create("http://" + address + path),
                        s -> {
                          s.connectTimeout(CONNECT_TIMEOUT).readTimeout(READ_TIMEOUT);
                          action.execute(s);
                        })
                    .then(
                        r -> {
                          if (r.getStatusCode() == OK) {
                            out.complete(parse(r.getBody().getText()));
                          } else {
                            out.completeExceptionally(
                                failed(path + " returned status " + r.getStatusCode()));
                          }
                        }));
    return out;
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
