package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.util.Optional;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;

/** The HTTP interface of the simulated engine. Runs on the event loop. */
final class EngineHandlers implements Action<Chain> {
  private static final ObjectMapper JSON = new ObjectMapper();
  private final String instance;
  private final Engine engine;
  private final StandInServer server;

  EngineHandlers(String instance, Engine engine, StandInServer server) {
    this.instance = instance;
    this.engine = engine;
    this.server = server;
  }

  @Override
  public void execute(Chain chain) {
    chain
        .all(this::dropWhileDown)
        .post("v1/chat/completions", this::complete)
        .post("v1/requests/:id/cancel", this::cancel)
        .post("control/orders", this::order)
        .get("control/state", ctx -> StandInServer.send(ctx, 200, state()))
        .get("control/cache-events", this::cacheEvents)
        .post("control/kv/export", this::exportCache)
        .post("control/kv/import", this::importCache);
  }

  private void dropWhileDown(Context ctx) {
    engine.advance(StandInServer.now());
    if (engine.lifecycle().down(StandInServer.now())) {
      StandInServer.channel(ctx).close();
      return;
    }
    ctx.next();
  }

  private void complete(Context ctx) {
    ctx.getRequest().getBody().then(b -> complete(ctx, StandInServer.parse(b.getText())));
  }

  private void complete(Context ctx, JsonNode body) {
    Headers h = ctx.getRequest().getHeaders();
    String id = Optional.ofNullable(h.get("Ebonypond-Request-Id")).orElse(newId());
    Channel channel = StandInServer.channel(ctx);
    PendingAnswer answer = new PendingAnswer(channel);
    String model = body.path("model").asText();
    boolean stream = body.path("stream").asBoolean();
    Runnable drop = answer::drop;
    SseAnswer sse = new SseAnswer(id, drop, answer::disconnected);
    JsonAnswer json = new JsonAnswer(id, model, answer::completed, drop);
    EngineRequest r =
        new EngineRequest(
            id,
            model,
            EngineContent.prompt(body),
            EngineContent.length(body),
            number(h.get("Ebonypond-Resume-Offset"), 0),
            number(h.get("Ebonypond-Priority"), 5),
            stream ? sse : json);
    Admission a =
        engine.submit(r, h.get("Ebonypond-Boot"), StandInServer.now(), System.currentTimeMillis());
    if (a != Admission.ACCEPTED) {
      refuse(ctx, a);
      return;
    }
    answer.begin(r);
    ctx.getResponse().getHeaders().set("Ebonypond-Boot", engine.lifecycle().boot());
    if (stream) {
      ctx.getResponse().contentType("text/event-stream;charset=utf-8");
      ctx.getResponse().getHeaders().set("Cache-Control", "no-cache");
      ctx.getResponse().sendStream(sse);
      return;
    }
    Promise.<ObjectNode>async(answer::await).then(n -> StandInServer.send(ctx, 200, n));
  }

  private void refuse(Context ctx, Admission a) {
    switch (a) {
      case WRONG_BOOT ->
          server.sendNotRun(
              ctx, "wrong-boot", "the instance has restarted with another boot identity");
      case NOT_LOADED ->
          server.sendNotRun(ctx, "not-loaded", "the instance does not serve the model");
      case MEMBER_MISSING ->
          StandInServer.send(
              ctx,
              500,
              StandInServer.problem("member-missing", "a member of the group is missing"));
      default -> {
        server.dropAll();
        StandInServer.channel(ctx).close();
      }
    }
  }

  private void cancel(Context ctx) {
    int n = engine.cancel(ctx.getPathTokens().get("id"));
    StandInServer.send(ctx, 200, JSON.createObjectNode().put("cancelled", n));
  }

  private void order(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            b -> {
              EngineOrder o = EngineOrder.of(StandInServer.parse(b.getText()));
              boolean applied = engine.order(o, StandInServer.now());
              ObjectNode n = JSON.createObjectNode().put("boot", engine.lifecycle().boot());
              n.put("fencing", engine.state().current().fencing());
              if (!applied) {
                n.put("code", "old-fencing-number");
              }
              StandInServer.send(ctx, applied ? 200 : 409, n);
            });
  }

  private ObjectNode state() {
    EngineOrder o = engine.state().current();
    ObjectNode n = JSON.createObjectNode().put("instance", instance);
    n.put("boot", engine.lifecycle().boot());
    n.put("status", engine.status(StandInServer.now()));
    n.put("group", engine.state().group());
    n.put("rank", o.rank());
    ArrayNode members = n.putArray("members");
    o.members().forEach(members::add);
    n.put("model", o.model()).put("version", o.version());
    return n.put("fencing", o.fencing());
  }

  private void cacheEvents(Context ctx) {
    String after = ctx.getRequest().getQueryParams().get("after");
    ObjectNode n = JSON.createObjectNode().put("boot", engine.lifecycle().boot());
    ArrayNode events = n.putArray("events");
    for (PrefixCache.CacheEvent e : engine.cache().events(number(after, 0), StandInServer.now())) {
      events.addObject().put("seq", e.seq()).put("type", e.type()).put("prefix", e.prefix());
    }
    StandInServer.send(ctx, 200, n);
  }

  private void exportCache(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            b -> {
              String prefix = StandInServer.parse(b.getText()).path("prefix").asText();
              boolean found = engine.cache().contains(prefix);
              ObjectNode n = JSON.createObjectNode().put("prefix", prefix);
              n.put("boot", engine.lifecycle().boot()).put("data", "kv:" + prefix);
              StandInServer.send(
                  ctx,
                  found ? 200 : 404,
                  found ? n : StandInServer.problem("not-found", "the prefix is not stored"));
            });
  }

  private void importCache(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            b -> {
              JsonNode n = StandInServer.parse(b.getText());
              String prefix = n.path("prefix").asText();
              boolean valid = n.path("data").asText().equals("kv:" + prefix) && !prefix.isEmpty();
              if (valid) {
                engine.cache().storePrefix(prefix, StandInServer.now());
              }
              StandInServer.send(
                  ctx,
                  valid ? 200 : 400,
                  JSON.createObjectNode().put("boot", engine.lifecycle().boot()));
            });
  }

  private static String newId() {
    return UUID.randomUUID().toString();
  }

  private static int number(@Nullable String text, int fallback) {
    return text == null || !text.matches("[0-9]{1,9}") ? fallback : Integer.parseInt(text);
  }

  /** The answer to a request in progress, which is cancelled when its connection closes. */
  private final class PendingAnswer {
    private final Channel channel;
    private final GenericFutureListener<Future<? super Void>> onClose = f -> disconnected();
    private @Nullable EngineRequest request;
    private @Nullable ObjectNode result;
    private @Nullable Downstream<? super ObjectNode> downstream;

    PendingAnswer(Channel channel) {
      this.channel = channel;
    }

    void begin(EngineRequest r) {
      request = r;
      server.markBusy(channel);
      channel.closeFuture().addListener(onClose);
    }

    void await(Downstream<? super ObjectNode> down) {
      if (result != null) {
        down.success(result);
        return;
      }
      downstream = down;
    }

    void completed(ObjectNode n) {
      finish();
      result = n;
      if (downstream != null) {
        downstream.success(n);
      }
    }

    void drop() {
      finish();
      channel.close().addListener(ChannelFutureListener.CLOSE);
    }

    void disconnected() {
      if (request != null) {
        engine.disconnected(request);
        finish();
      }
    }

    private void finish() {
      request = null;
      channel.closeFuture().removeListener(onClose);
      server.markIdle(channel);
    }
  }
}
