import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Many callers send bodies within the limit at the same time, while others send short requests. */
final class LargeBodies {
  /** The callers that send a body at the same time at usual times. */
  private static final int USUAL_CALLERS = 20;

  /** The same in a burst of 1.7 times the traffic. */
  private static final int BURST_CALLERS = 34;

  /** Below the limit of 4,194,304 bytes of the configuration. */
  private static final int BODY_BYTES = 4_000_000;

  /** The callers of a burst together: 0.44 Gbit/s, half of the link of a front machine. */
  private static final int BYTES_PER_SECOND = 1_600_000;

  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int ANSWER_SLACK_MILLIS = 500;
  private static final int SHORT_REQUESTS = 100;
  private static final int SHORT_INTERVAL_MILLIS = 100;

  private LargeBodies() {}

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    try (Harness h = new Harness(Path.of(args[0]))) {
      result = play(h);
    }
    System.exit(result);
  }

  private static int play(Harness h) throws Exception {
    h.startSystem(1);
    for (int i = 0; i < 3; i++) {
      new Worker(h, "w-" + i, "orders", Harness.ZONES.get(i), h.ip(30 + i));
    }
    String route =
        "\"host\":\"orders.example\",\"type\":\"safe\",\"slo_ms\":500,\"priority\":1,"
            + "\"service\":\"orders\",\"attempts\":1,\"public\":true";
    String config =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"path_prefix\":\"/orders/\",\"timeout_ms\":"
            + TIMEOUT_MILLIS + "," + route + "},{\"name\":\"r2\",\"path_prefix\":\"/sheets/\","
            + "\"timeout_ms\":20000," + route + "}],"
            + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (h.order(h.replicas(), "PUT", "/ebonypond/config", config, 15_000) < 0
        || !h.awaitReady(1, 15_000)) {
      return Harness.NOT_RUN;
    }
    Thread.sleep(4_000);
    ExecutorService clients = Executors.newCachedThreadPool();
    final int sheets = Harness.trouble() ? BURST_CALLERS : USUAL_CALLERS;
    h.log("client: " + sheets + " callers begin to send a body of " + BODY_BYTES + " bytes each, "
        + BYTES_PER_SECOND + " bytes a second each");
    for (int i = 0; i < sheets; i++) {
      int n = i;
      clients.execute(() -> upload(h, n));
    }
    Thread.sleep(1_000);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger slow = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    for (int i = 0; i < SHORT_REQUESTS; i++) {
      int n = i;
      clients.execute(() -> ask(h, n, answered, slow, late));
      Thread.sleep(SHORT_INTERVAL_MILLIS);
    }
    Thread.sleep(TIMEOUT_MILLIS + 2 * ANSWER_SLACK_MILLIS);
    h.log("of " + SHORT_REQUESTS + " short requests " + answered + " had a final answer, " + slow
        + " of them after timeout_ms, " + late
        + " had none " + ANSWER_SLACK_MILLIS + " ms after timeout_ms of their route, "
        + TIMEOUT_MILLIS);
    for (int i = 0; i < 12; i++) {
      Harness.Answer a =
          h.call(
              h.front(0),
              "GET",
              "/orders/later",
              "Host: orders.example\r\nAttempt-Id: later-" + i + "\r\nDeadline-Ms: 2000\r\n",
              (byte[]) null,
              2_500);
      h.log("client: later-" + i + ": " + a);
      if (a.status == 200) {
        break;
      }
    }
    clients.shutdownNow();
    if (!Harness.trouble() && answered.get() < SHORT_REQUESTS) {
      return Harness.NOT_RUN;
    }
    // Those that last longer than their route's timeout are the slow and the late ones.
    boolean broken = late.get() >= 8 && 4 * late.get() > late.get() + slow.get();
    return broken ? Harness.BROKEN : Harness.HELD;
  }

  private static void ask(
      Harness h, int n, AtomicInteger answered, AtomicInteger slow, AtomicInteger late) {
    long sentAt = h.now();
    Harness.Answer a =
        h.call(
            h.front(0),
            "GET",
            "/orders/" + n,
            "Host: orders.example\r\nAttempt-Id: short-" + n + "\r\nDeadline-Ms: 6000\r\n",
            (byte[]) null,
            TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS);
    if (a.status > 0) {
      answered.incrementAndGet();
      slow.addAndGet(h.now() - sentAt > TIMEOUT_MILLIS ? 1 : 0);
    } else if (a.failure.contains("timed out")) {
      late.incrementAndGet();
    }
    h.log("client: short-" + n + ": " + a);
  }

  /** Sends a body at the rate of the caller's link and reads the answer. */
  private static void upload(Harness h, int n) {
    String result;
    try (Socket s = new Socket()) {
      String address = h.front(0);
      int colon = address.lastIndexOf(':');
      s.connect(
          new InetSocketAddress(
              InetAddress.getByName(address.substring(0, colon)),
              Integer.parseInt(address.substring(colon + 1))),
          1_000);
      s.setSoTimeout(20_000);
      OutputStream out = s.getOutputStream();
      String head =
          "POST /sheets/" + n + " HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: sheet-" + n
              + "\r\nDeadline-Ms: 20000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.UTF_8));
      byte[] part = new byte[BYTES_PER_SECOND / 50];
      for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
        out.write(part, 0, Math.min(part.length, BODY_BYTES - sent));
        Thread.sleep(20);
      }
      out.flush();
      h.log("client: sheet-" + n + " is sent");
      result = Harness.readLine(s.getInputStream());
    } catch (IOException | InterruptedException e) {
      result = String.valueOf(e.getMessage());
    }
    h.log("client: sheet-" + n + ": " + result);
  }
}
