import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica is killed right after it has acknowledged that a worker has deregistered. */
final class LostLeave {
  private static final int ENTRIES = 3;

  /** One of these leaves: a share of 0.143. */
  private static final int WORKERS = 7;

  /** How long the worker serves after the acknowledgement: drain_ms and some seconds. */
  private static final int SERVES_MILLIS = Harness.DRAIN_MILLIS + 8_000;

  /** A killed process is restarted after a short delay. */
  private static final int RESTART_MILLIS = 500;

  private LostLeave() {}

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    try (Harness h = new Harness(Path.of(args[0]))) {
      result = play(h);
    }
    System.exit(result);
  }

  private static int play(Harness h) throws Exception {
    h.startSystem(ENTRIES);
    Worker[] workers = new Worker[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      workers[i] = new Worker(h, "w-" + i, "orders", Harness.ZONES.get(i % 3), h.ip(30 + i));
    }
    String config =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"orders.example\","
            + "\"path_prefix\":\"/orders/\",\"type\":\"unsafe\",\"timeout_ms\":6000,\"slo_ms\":500,"
            + "\"priority\":1,\"service\":\"orders\",\"attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (h.order(h.replicas(), "PUT", "/ebonypond/config", config, 15_000) < 0
        || !h.awaitReady(ENTRIES, 15_000)) {
      h.log("the system did not become ready");
      return Harness.NOT_RUN;
    }
    Thread.sleep(4_000);
    int before = send(h, "before", 30);
    if (before < 30) {
      return Harness.NOT_RUN;
    }
    // All machines are in touch: nothing has happened for longer than contact_ms.
    Harness.Node core = h.node("core-2");
    Runnable kill = Harness.trouble() ? () -> h.kill(core) : () -> {};
    if (!workers[1].deregister(h.control(core), kill)) {
      return Harness.NOT_RUN;
    }
    final long acknowledgedAt = h.now();
    h.log("w-1 has deregistered; the acknowledgement came from " + core.name);
    if (Harness.trouble()) {
      Thread.sleep(RESTART_MILLIS);
      core.process.waitFor();
      h.start(core);
    }
    // The core is stable and the machines are in touch again contact_ms after the restart.
    Thread.sleep(Harness.CONTACT_MILLIS + 1_000);
    final long from = h.now();
    int answered = send(h, "after", 60);
    if (h.now() > acknowledgedAt + SERVES_MILLIS) {
      h.log("the requests took longer than w-1 serves");
      return Harness.NOT_RUN;
    }
    long wrong = workers[1].runs.stream().filter(r -> r.at() >= from).count();
    h.log(answered + " of 60 requests were answered with 200; " + wrong + " ran at w-1, from "
        + (from - acknowledgedAt) + " ms after the acknowledgement, drain_ms is "
        + Harness.DRAIN_MILLIS);
    workers[1].close();
    if (answered == 0) {
      return Harness.NOT_RUN;
    }
    return wrong > 0 ? Harness.BROKEN : Harness.HELD;
  }

  /** Sends requests from ten clients and returns how many were answered with 200. */
  private static int send(Harness h, String name, int count) throws InterruptedException {
    AtomicInteger answered = new AtomicInteger();
    ExecutorService clients = Executors.newFixedThreadPool(10);
    for (int i = 0; i < count; i++) {
      int n = i;
      clients.execute(() -> answered.addAndGet(sendOne(h, name + "-" + n, n) ? 1 : 0));
    }
    clients.shutdown();
    clients.awaitTermination(30, TimeUnit.SECONDS);
    return answered.get();
  }

  private static boolean sendOne(Harness h, String attempt, int number) {
    Harness.Answer a =
        h.call(
            h.front(number % ENTRIES),
            "POST",
            "/orders/" + number,
            "Host: orders.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\n",
            new byte[100],
            4_500);
    h.log("client: " + attempt + " at front-" + number % ENTRIES + ": " + a);
    return a.status == 200;
  }
}
