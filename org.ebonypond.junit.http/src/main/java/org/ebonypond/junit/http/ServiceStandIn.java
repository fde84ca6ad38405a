package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Headers;

/** Runs a simulated plain service as a process. */
public final class ServiceStandIn {
  private final PlainService service;
  private final StandInServer server;

  private ServiceStandIn(PlainService service, StandInServer server) {
    this.service = service;
    this.server = server;
  }

  /**
   * Starts the process.
   *
   * @param args {@code --key=value}; the keys are listed in docs/stand-ins.md
   */
  public static void main(String[] args) throws Exception {
    Arguments a = Arguments.parse(args);
    final StandInServer.Settings settings = StandInServer.Settings.of(a);
    final String name = a.text("service");
    int max = (int) a.number("max-concurrency", 32);
    ColdCeiling ceiling =
        new ColdCeiling((int) a.number("cold-ceiling", 4), max, a.number("warm-ms", 10_000));
    Lifecycle lifecycle =
        new Lifecycle(
            () -> UUID.randomUUID().toString(),
            ceiling,
            a.number("down-ms", 2_000),
            StandInServer.now());
    PlainService service =
        new PlainService(
            settings.zone(),
            max,
            a.number("latency-ms", 20),
            a.ratio("answer-lost", 0),
            lifecycle,
            a.number("seed", 1));
    a.rejectUnknown();
    StandInServer server = new StandInServer(settings, new Backend(service, name));
    ServiceStandIn standIn = new ServiceStandIn(service, server);
    server.start(
        c ->
            c.all(standIn::dropWhileDown)
                .get("orders/:id", ctx -> standIn.call(ctx, true))
                .get("balances/:id", ctx -> standIn.call(ctx, true))
                .post("orders", ctx -> standIn.call(ctx, false))
                .post("refunds", ctx -> standIn.call(ctx, false)),
        execController -> {});
  }

  private void dropWhileDown(Context ctx) {
    if (service.lifecycle().down(StandInServer.now())) {
      StandInServer.channel(ctx).close();
      return;
    }
    ctx.next();
  }

  private void call(Context ctx, boolean idempotent) {
    ctx.getRequest().getBody().then(b -> call(ctx, idempotent, b.getText()));
  }

  private void call(Context ctx, boolean idempotent, String body) {
    Headers h = ctx.getRequest().getHeaders();
    String key = text(h.get("Idempotency-Key"));
    PlainService.ServiceCall call =
        new PlainService.ServiceCall(
            idempotent,
            text(h.get("Ebonypond-Workspace")),
            key,
            text(h.get("Ebonypond-Request-Id")),
            h.get("Ebonypond-Boot"));
    PlainService.BeginResult begun =
        service.begin(call, StandInServer.now(), System.currentTimeMillis());
    Channel channel = StandInServer.channel(ctx);
    if (begun.admission() == Admission.WRONG_BOOT) {
      server.sendNotRun(ctx, "wrong-boot", "the instance has restarted with another boot identity");
      return;
    }
    if (begun.admission() != Admission.ACCEPTED) {
      server.dropAll();
      channel.close();
      return;
    }
    server.markBusy(channel);
    ctx.getResponse().getHeaders().set("Ebonypond-Boot", service.lifecycle().boot());
    String path = ctx.getRequest().getPath();
    String answer =
        idempotent ? ServiceContent.lookup(path) : ServiceContent.execution(path, key, body);
    Promise.<String>async(
            d ->
                ctx.getExecution()
                    .getEventLoop()
                    .schedule(
                        () -> d.success(answer), begun.latencyMillis(), TimeUnit.MILLISECONDS))
        .then(
            text -> {
              service.end(begun);
              server.markIdle(channel);
              if (begun.answerLost() || !channel.isOpen()) {
                channel.close();
                return;
              }
              ctx.getResponse().contentType("application/json").send(text);
            });
  }

  private static String text(@Nullable String value) {
    return Optional.ofNullable(value).orElse("");
  }

  private record Backend(PlainService service, String name) implements BackendServer {
    @Override
    public Lifecycle lifecycle() {
      return service.lifecycle();
    }

    @Override
    public LoadHistory.Sample load(long now, long wallMillis) {
      return service.load(now, wallMillis);
    }

    @Override
    public void describe(ObjectNode n, long now) {
      n.put("kind", "service").put("service", name);
      n.put("status", service.lifecycle().leaving() ? "leaving" : "ready");
    }

    @Override
    public Map<String, Object> counters() {
      return service.counters();
    }

    @Override
    public Map<String, Object> executions() {
      return Map.of(
          "byKey",
          service.executionCounts().byKey(),
          "byRequest",
          service.executionCounts().byRequest());
    }

    @Override
    public void reset() {
      service.reset();
    }

    @Override
    public void restart(long now) {
      service.restart(now);
    }

    @Override
    public boolean injectFault(String type, JsonNode parameters, long now) {
      if (!type.equals("answer-lost")) {
        return false;
      }
      service.setAnswerLossRatio(parameters.path("share").asDouble(1));
      return true;
    }

    @Override
    public void advance(long now) {
      // Nothing to do: each call is ended by its own timer.
    }
  }
}
