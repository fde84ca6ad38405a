import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker crashes in the middle of an answer that has no length and began before the body was in. */
final class CutAnswer {
  /** Below the limit of 4,194,304 bytes of the configuration. */
  private static final int BODY_BYTES = 4_000_000;

  /** What the worker reads of a body before it answers. */
  private static final int READ_BYTES = 1_000;

  /** One of these crashes: a share of 0.143. */
  private static final int WORKERS = 7;

  private static final int CALLS = 8;
  private static final int STEP_MILLIS = 400;
  private static final String[] PARTS = {
    "receipt 1 of 3: accepted\n", "receipt 2 of 3: accepted\n", "receipt 3 of 3: accepted\n"
  };
  private static final String WHOLE = String.join("", PARTS);

  private static final AtomicInteger WRONG = new AtomicInteger();
  private static final AtomicInteger RIGHT = new AtomicInteger();

  private CutAnswer() {}

  /** A worker that answers as it reads: each part of the answer after a part of the body. */
  private static final class EarlyWorker extends Worker {
    private final Set<Socket> running = ConcurrentHashMap.newKeySet();

    EarlyWorker(Harness h, String id, String zone, String ip) throws IOException {
      super(h, id, "orders", zone, ip);
    }

    @Override
    boolean handle(Request r, Socket s) throws IOException {
      if (!r.path.endsWith("/early")) {
        return super.handle(r, s);
      }
      InputStream in = s.getInputStream();
      in.readNBytes(READ_BYTES);
      run(r);
      String head =
          "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.header("Attempt-Id") + "\r\nOrigin-Seal: seal-"
              + id + "\r\nConnection: close\r\n\r\n";
      s.getOutputStream().write((head + PARTS[0]).getBytes(StandardCharsets.UTF_8));
      h.log(id + " answers " + r.header("Attempt-Id") + " early: 200, no length, part 1 of 3");
      running.add(s);
      pause(STEP_MILLIS);
      in.readNBytes(r.length() - READ_BYTES);
      running.remove(s);
      s.getOutputStream().write(PARTS[1].getBytes(StandardCharsets.UTF_8));
      s.getOutputStream().write(PARTS[2].getBytes(StandardCharsets.UTF_8));
      h.log(id + " has read and answered the whole of " + r.header("Attempt-Id"));
      return false;
    }

    /** Ends as a process that is killed: its connections are reset, and nothing listens. */
    void crash() throws IOException {
      close();
      for (Socket s : running) {
        s.setSoLinger(true, 0);
        s.close();
      }
      h.log(id + " crashes with " + running.size() + " requests in progress");
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    try (Harness h = new Harness(Path.of(args[0]))) {
      result = play(h);
    }
    System.exit(result);
  }

  private static int play(Harness h) throws Exception {
    h.startSystem(1);
    EarlyWorker[] workers = new EarlyWorker[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      workers[i] = new EarlyWorker(h, "w-" + i, Harness.ZONES.get(i % 3), h.ip(30 + i));
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
        || !h.awaitReady(1, 15_000)) {
      h.log("the system did not become ready");
      return Harness.NOT_RUN;
    }
    pause(4_000);
    if (send(h, "warm-up", "/orders/new", 100).status != 200) {
      return Harness.NOT_RUN;
    }
    ExecutorService clients = Executors.newFixedThreadPool(CALLS);
    for (int i = 0; i < CALLS; i++) {
      int n = i;
      clients.execute(() -> judge(h, send(h, "attempt-" + n, "/orders/early", BODY_BYTES), n));
    }
    EarlyWorker victim = null;
    for (int i = 0; i < 100 && victim == null; i++) {
      pause(10);
      for (EarlyWorker w : workers) {
        victim = w.running.isEmpty() ? victim : w;
      }
    }
    if (victim == null) {
      h.log("no worker has begun an answer");
      return Harness.NOT_RUN;
    }
    pause(STEP_MILLIS / 2);
    if (Harness.trouble()) {
      victim.crash();
    }
    clients.shutdown();
    clients.awaitTermination(20, TimeUnit.SECONDS);
    h.log(CALLS + " requests, " + RIGHT + " whole answers, " + WRONG + " wrong successes");
    if (!Harness.trouble() && RIGHT.get() < CALLS) {
      return Harness.NOT_RUN;
    }
    return WRONG.get() > 0 ? Harness.BROKEN : Harness.HELD;
  }

  private static void judge(Harness h, Harness.Answer a, int n) {
    if (a.status / 100 != 2 || !a.complete) {
      return;
    }
    if (a.text().equals(WHOLE)) {
      RIGHT.incrementAndGet();
      return;
    }
    WRONG.incrementAndGet();
    h.log("BROKEN: attempt-" + n + " got a complete 200 with " + a.body.length + " of "
        + WHOLE.length() + " bytes, seal " + a.headers.get("origin-seal"));
  }

  private static Harness.Answer send(Harness h, String attempt, String path, int bytes) {
    h.log("client: POST " + path + ", " + attempt + ", " + bytes + " bytes");
    Harness.Answer a =
        h.call(
            h.front(0),
            "POST",
            path,
            "Host: orders.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\n",
            new byte[bytes],
            4_500);
    h.log("client: " + attempt + ": " + a + ", " + a.body.length + " bytes, headers " + a.headers);
    return a;
  }
}
