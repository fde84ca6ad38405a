import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** An entry gets SIGTERM while a caller on a slow link reads a long answer. */
final class CutAtExit {
  /** An answer of a few MB; the entry takes answers of up to 8 MiB. */
  private static final int ANSWER_BYTES = 8_300_000;

  /** What the caller reads in a second: its whole answer takes 5 s. */
  private static final int BYTES_PER_SECOND = 1_200_000;

  private static final int GRACE_MILLIS = 8_000;

  private CutAtExit() {}

  private static final class LongWorker extends Worker {
    LongWorker(Harness h, String id, String zone, String ip) throws IOException {
      super(h, id, "orders", zone, ip);
    }

    @Override
    boolean handle(Request r, Socket s) throws IOException {
      if (!r.path.endsWith("/long")) {
        return super.handle(r, s);
      }
      run(r);
      String head =
          "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.header("Attempt-Id") + "\r\nOrigin-Seal: seal-"
              + id + "\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n";
      OutputStream out = s.getOutputStream();
      out.write(head.getBytes(StandardCharsets.UTF_8));
      out.write(new byte[ANSWER_BYTES]);
      out.flush();
      h.log(id + " has written the whole answer of " + r.header("Attempt-Id"));
      return true;
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
    h.startSystem(3);
    for (int i = 0; i < 3; i++) {
      new LongWorker(h, "w-" + i, Harness.ZONES.get(i), h.ip(30 + i));
    }
    String config =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"orders.example\","
            + "\"path_prefix\":\"/orders/\",\"type\":\"unsafe\",\"timeout_ms\":20000,"
            + "\"slo_ms\":500,\"priority\":1,\"service\":\"orders\",\"attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (h.order(h.replicas(), "PUT", "/ebonypond/config", config, 15_000) < 0
        || !h.awaitReady(3, 15_000)) {
      return Harness.NOT_RUN;
    }
    Thread.sleep(4_000);
    Harness.Node entry = h.node("front-0");
    long[] read = {0};
    boolean[] whole = {false};
    Thread caller =
        new Thread(
            () -> {
              try {
                whole[0] = read(h, h.front(0), read);
              } catch (Exception e) {
                h.log("client: " + e);
              }
            });
    caller.start();
    Thread.sleep(300);
    final long at = h.now();
    if (Harness.trouble()) {
      h.signal(entry, "TERM");
    }
    caller.join();
    long took = h.now() - at;
    h.log("client: read " + read[0] + " of " + ANSWER_BYTES + " bytes, " + took
        + " ms after the SIGTERM, grace_s is " + GRACE_MILLIS / 1_000);
    if (Harness.trouble()) {
      entry.process.waitFor();
      h.log(entry.name + " has ended with " + entry.process.exitValue());
    }
    if (whole[0]) {
      return Harness.HELD;
    }
    return read[0] > 0 && took < GRACE_MILLIS ? Harness.BROKEN : Harness.NOT_RUN;
  }

  private static boolean read(Harness h, String address, long[] read) throws Exception {
    try (Socket s = new Socket()) {
      s.setReceiveBufferSize(64 << 10);
      int colon = address.lastIndexOf(':');
      s.connect(
          new InetSocketAddress(
              InetAddress.getByName(address.substring(0, colon)),
              Integer.parseInt(address.substring(colon + 1))),
          1_000);
      s.setSoTimeout(15_000);
      String head =
          "GET /orders/long HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: attempt-1\r\n"
              + "Deadline-Ms: 15000\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      h.log("client: GET /orders/long, attempt-1");
      InputStream in = s.getInputStream();
      String status = Harness.readLine(in);
      h.log("client: " + status);
      if (status == null || !status.contains(" 200")) {
        return false;
      }
      for (String l = Harness.readLine(in); !l.isEmpty(); l = Harness.readLine(in)) {
        h.log("client: " + l);
      }
      byte[] part = new byte[BYTES_PER_SECOND / 50];
      while (read[0] < ANSWER_BYTES) {
        int n = in.read(part);
        if (n < 0) {
          h.log("client: the connection ended");
          return false;
        }
        read[0] += n;
        Thread.sleep(n * 1_000L / BYTES_PER_SECOND);
      }
      return true;
    } catch (IOException e) {
      h.log("client: " + e.getMessage());
      return false;
    }
  }
}
