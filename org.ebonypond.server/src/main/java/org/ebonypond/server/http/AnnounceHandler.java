package org.ebonypond.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.function.LongSupplier;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.server.backend.HttpEngineAdmin;
import org.ebonypond.server.control.AnnouncementRelay;
import org.ebonypond.server.control.InstanceReport;
import org.ebonypond.server.control.ReportedLoad;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Handles {@code POST /platform/v1/announce}. */
final class AnnounceHandler implements Handler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_PORT = 65_535;

  private final AnnouncementRelay relay;
  private final LongSupplier wallMillis;

  AnnounceHandler(AnnouncementRelay relay, LongSupplier wallMillis) {
    this.relay = relay;
    this.wallMillis = wallMillis;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              try {
                relay.add(read(JSON.readTree(body.getText())));
              } catch (JsonProcessingException e) {
                Responses.problem(
                    ctx, Problem.invalid(ErrorCode.BAD_REQUEST, e.getOriginalMessage()), "");
                return;
              } catch (EbonypondException e) {
                Responses.problem(ctx, Problem.of(e), "");
                return;
              }
              Responses.json(ctx, 200, "{}");
            });
  }

  /**
   * Reads an announcement.
   *
   * @throws EbonypondException {@code bad-request} if a field is missing or malformed
   */
  InstanceReport.Item read(JsonNode n) {
    boolean engine = required(n, "kind").equals("engine");
    final EngineStatus status = HttpEngineAdmin.status(required(n, "status"));
    final String instance = required(n, "instance");
    final String boot = required(n, "boot");
    JsonNode load = n.path("load");
    int active = load.path("active").asInt();
    InstanceAnnouncement a =
        new InstanceAnnouncement(
            instance,
            boot,
            address(n),
            required(n, "zone"),
            required(n, "domain"),
            engine ? InstanceKind.ENGINE : InstanceKind.SERVICE,
            required(n, engine ? "engineKind" : "service"),
            status,
            n.path("group").asText(""),
            n.path("fencing").asLong(),
            active);
    // measuredAt comes from another process's clock; if that clock is ahead, the report must not
    // appear newer than its arrival.
    long age = Math.max(0, wallMillis.getAsLong() - load.path("measuredAt").asLong());
    return new InstanceReport.Item(
        a,
        new ReportedLoad(
            instance,
            boot,
            status == EngineStatus.READY,
            age,
            0,
            active,
            load.path("waiting").asInt(),
            load.path("tokens").asLong()));
  }

  /** Returns the address, which is part of the URI of each order, read and request. */
  private static String address(JsonNode n) {
    String v = required(n, "address");
    try {
      URI uri = new URI("http://" + v);
      boolean valid = uri.getHost() != null && uri.getPort() > 0 && uri.getPort() <= MAX_PORT;
      if (valid && v.equals(uri.getHost() + ":" + uri.getPort())) {
        return v;
      }
    } catch (URISyntaxException e) {
      throw new EbonypondException(
          e, ErrorCode.BAD_REQUEST, "\"address\" is not host:port: " + e.getReason());
    }
    throw new EbonypondException(ErrorCode.BAD_REQUEST, "\"address\" is not host:port");
  }

  private static String required(JsonNode n, String key) {
    String v = n.path(key).asText("");
    if (v.isBlank() || v.equals("null")) {
      throw new EbonypondException(ErrorCode.BAD_REQUEST, "\"" + key + "\" is missing");
    }
    return v;
  }
}
