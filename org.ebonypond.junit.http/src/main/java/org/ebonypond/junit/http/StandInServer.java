package org.ebonypond.junit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ratpack.exec.ExecController;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.client.HttpClient;
import ratpack.server.RatpackServer;

/**
 * The HTTP server of a simulated backend server, with announcements, the test endpoints under
 * {@code /judge} and leaving on SIGTERM. Everything runs on one event loop.
 */
final class StandInServer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TICK_MILLIS = 5;
  private static final long SAMPLE_MILLIS = 50;
  private static final long ANNOUNCE_MILLIS = 500;
  private static final long MAX_LEAVE_MILLIS = 120_000;
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final Settings settings;
  private final BackendServer backend;
  private final LoadHistory history;
  private final Set<Channel> busy = new HashSet<>();
  private final CountDownLatch exitAllowed = new CountDownLatch(1);
  private long quietSince;
  private boolean exiting;

  StandInServer(Settings settings, BackendServer backend) {
    this.settings = settings;
    this.backend = backend;
    this.history = new LoadHistory(settings.reportLagMillis());
  }

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Starts the server. {@code handlers} are added after those of the test endpoints. */
  void start(Action<Chain> handlers, Action<ExecController> onStart) throws Exception {
    RatpackServer server =
        RatpackServer.start(
            s ->
                s.serverConfig(
                        c ->
                            c.address(InetAddress.getByName(settings.host()))
                                .port(settings.port())
                                .threads(1)
                                .maxContentLength(MAX_BODY_BYTES)
                                .development(false)
                                .registerShutdownHook(false))
                    .handlers(
                        c ->
                            c.get("judge/counters", this::counters)
                                .get(
                                    "judge/executions",
                                    x -> send(x, 200, JSON.valueToTree(backend.executions())))
                                .post("judge/reset", this::reset)
                                .post("judge/fault", this::fault)
                                .insert(handlers)));
    ExecController execController = server.getRegistry().orElseThrow().get(ExecController.class);
    HttpClient client = HttpClient.of(c -> c.poolSize(4).execController(execController));
    Announcer announcer =
        new Announcer(settings.entries(), execController, client, this::announcement);
    var loop = execController.getExecutor();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> history.add(backend.load(now(), System.currentTimeMillis())),
        0,
        SAMPLE_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> {
          if (backend.lifecycle().announces(now())) {
            announcer.announce();
          }
        },
        0,
        ANNOUNCE_MILLIS,
        TimeUnit.MILLISECONDS);
    onStart.execute(execController);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndWait(execController, announcer)));
    System.out.println(
        settings.instance() + " listens on " + settings.host() + ":" + settings.port());
  }

  /** Marks a connection as busy: it is dropped when the backend server goes down. */
  void markBusy(Channel channel) {
    busy.add(channel);
  }

  void markIdle(Channel channel) {
    busy.remove(channel);
  }

  /** Drops every busy connection, as the death of a process would. */
  void dropAll() {
    List<Channel> channels = List.copyOf(busy);
    busy.clear();
    channels.forEach(Channel::close);
  }

  static Channel channel(Context ctx) {
    return ctx.getDirectChannelAccess().getChannel();
  }

  static void send(Context ctx, int status, JsonNode body) {
    ctx.getResponse().status(status).contentType("application/json").send(body.toString());
  }

  /** Answers with status 409 and the header that says that the request was not run. */
  void sendNotRun(Context ctx, String code, String detail) {
    ctx.getResponse().getHeaders().set("Ebonypond-Not-Run", "true");
    ctx.getResponse().getHeaders().set("Ebonypond-Boot", backend.lifecycle().boot());
    send(ctx, 409, problem(code, detail));
  }

  static ObjectNode problem(String code, String detail) {
    return JSON.createObjectNode().put("code", code).put("detail", detail);
  }

  static JsonNode parse(String text) throws JsonProcessingException {
    JsonNode n = JSON.readTree(text);
    return n == null || n.isMissingNode() ? JSON.createObjectNode() : n;
  }

  private void tick() {
    long now = now();
    backend.advance(now);
    if (!busy.isEmpty()) {
      quietSince = now;
    }
    // Requests may arrive for some seconds after the first announcement with status leaving.
    boolean quiet = now - quietSince >= settings.leaveQuietMillis();
    boolean announced = backend.lifecycle().leavingFor(now) >= settings.leaveMillis();
    if (exiting && quiet && announced) {
      exitAllowed.countDown();
    }
  }

  private void counters(Context ctx) {
    ObjectNode n = JSON.valueToTree(backend.counters());
    n.put("instance", settings.instance()).put("zone", settings.zone());
    send(ctx, 200, n.put("boot", backend.lifecycle().boot()));
  }

  private void reset(Context ctx) {
    backend.reset();
    send(ctx, 200, JSON.createObjectNode());
  }

  private void fault(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            b -> {
              JsonNode parameters = parse(b.getText());
              boolean known = inject(parameters.path("type").asText(), parameters, now());
              send(
                  ctx,
                  known ? 200 : 400,
                  known
                      ? JSON.createObjectNode().put("boot", backend.lifecycle().boot())
                      : problem("bad-request", "unknown fault type"));
            });
  }

  private boolean inject(String type, JsonNode parameters, long now) throws InterruptedException {
    long millis = parameters.path("millis").asLong(5_000);
    Lifecycle lifecycle = backend.lifecycle();
    switch (type) {
      case "restart" -> {
        backend.restart(now);
        dropAll();
      }
      // Blocks the only event loop, so that the whole process stops responding, as after SIGSTOP.
      case "pause" -> Thread.sleep(millis);
      case "slow" -> lifecycle.slow(parameters.path("factor").asDouble(5), now + millis);
      case "mute" -> lifecycle.mute(now + millis);
      case "leave" -> lifecycle.leave(now);
      default -> {
        return backend.injectFault(type, parameters, now);
      }
    }
    return true;
  }

  private String announcement() {
    final long now = now();
    ObjectNode n = JSON.createObjectNode();
    n.put("instance", settings.instance());
    n.put("address", settings.host() + ":" + settings.port());
    n.put("zone", settings.zone());
    n.put("domain", settings.domain());
    n.put("boot", backend.lifecycle().boot());
    backend.describe(n, now);
    LoadHistory.Sample s = history.report(now);
    n.putObject("load")
        .put("measuredAt", s.wallMillis())
        .put("active", s.active())
        .put("waiting", s.waiting())
        .put("tokens", s.tokens());
    return n.toString();
  }

  private void leaveAndWait(ExecController execController, Announcer announcer) {
    execController
        .getExecutor()
        .execute(
            () -> {
              backend.lifecycle().leave(now());
              quietSince = now();
              exiting = true;
              announcer.announce();
            });
    try {
      if (!exitAllowed.await(MAX_LEAVE_MILLIS, TimeUnit.MILLISECONDS)) {
        System.out.println(settings.instance() + " exits with requests in progress");
      }
      System.out.println(JSON.valueToTree(backend.counters()).toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The settings that both kinds of simulated backend server have.
   *
   * @param instance the name of the instance
   * @param host the numeric IP address to listen on
   * @param port the port to listen on
   * @param zone the availability zone
   * @param domain the fabric domain
   * @param entries the addresses of the entries, as host and port
   * @param reportLagMillis the lag of load reports, in milliseconds
   * @param leaveMillis how long the server announces the status leaving before it exits, in
   *     milliseconds
   * @param leaveQuietMillis how long the server must be without requests before it exits, in
   *     milliseconds
   */
  record Settings(
      String instance,
      String host,
      int port,
      String zone,
      String domain,
      List<String> entries,
      long reportLagMillis,
      long leaveMillis,
      long leaveQuietMillis) {

    static Settings of(Arguments a) {
      String address = a.text("address");
      int colon = address.lastIndexOf(':');
      if (colon < 1) {
        throw new IllegalArgumentException("--address=" + address + ": must have the form IP:PORT");
      }
      return new Settings(
          a.text("instance"),
          address.substring(0, colon),
          Integer.parseInt(address.substring(colon + 1)),
          a.text("zone"),
          a.text("domain", "d1"),
          a.list("entries"),
          a.number("report-lag-ms", 300),
          a.number("leave-ms", 5_500),
          a.number("leave-quiet-ms", 1_000));
    }
  }
}
