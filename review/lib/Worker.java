import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A stand-in of a worker of a plain service: sends heartbeats and answers requests. */
class Worker implements AutoCloseable {
  /** The time of a request. */
  private static final int WORK_MILLIS = 40;

  final Harness h;
  final String id;
  final String service;
  final String zone;
  final String address;
  final long born = System.currentTimeMillis();
  final List<Run> runs = new ArrayList<>();
  volatile boolean leaving;
  private final ServerSocket server;
  private final Thread beats;
  private volatile boolean open = true;
  private volatile boolean beating = true;
  private long seq;

  /** A request that began to run. */
  record Run(long at, String attempt, String path, int length) {}

  /** A request that was received. */
  static final class Request {
    String method;
    String path;
    Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int length() {
      return header("Content-Length").isEmpty() ? 0 : Integer.parseInt(header("Content-Length"));
    }
  }

  Worker(Harness h, String id, String service, String zone, String ip) throws IOException {
    this.h = h;
    this.id = id;
    this.service = service;
    this.zone = zone;
    server = new ServerSocket();
    server.setReceiveBufferSize(32 << 10);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
    address = ip + ":" + server.getLocalPort();
    daemon(this::accept);
    beats = daemon(this::beat);
    h.closeLater(this);
  }

  static Thread daemon(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    t.start();
    return t;
  }

  /** Sends a heartbeat now, as after a change. */
  void beatNow() {
    beats.interrupt();
  }

  private void beat() {
    int at = Math.floorMod(id.hashCode(), 3);
    while (open && beating) {
      List<String> controls = h.controls();
      for (int i = 0; i < controls.size(); i++) {
        String to = controls.get(at % controls.size());
        String body = heartbeat();
        Harness.Answer a =
            h.call(
                to,
                "PUT",
                "/ebonypond/instances/" + id,
                "Content-Type: application/json\r\n",
                body,
                1_000);
        if (a.status / 100 == 2) {
          break;
        }
        at++;
      }
      try {
        Thread.sleep(Harness.HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        // A change is reported at once.
      }
    }
  }

  synchronized String heartbeat() {
    seq++;
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
        + seq + ",\"born\":" + born + extra() + "}";
  }

  /** Returns further fields of a heartbeat, each after a comma. */
  String extra() {
    return "";
  }

  /**
   * Deregisters at a node without having reported that it drains, and goes on serving.
   *
   * @param then runs as soon as the status line of a 2xx has been read
   * @return whether the answer was a 2xx
   */
  boolean deregister(String control, Runnable then) throws IOException {
    beating = false;
    leaving = true;
    h.log(id + ": DELETE /ebonypond/instances/" + id + " to " + control);
    int colon = control.lastIndexOf(':');
    try (Socket s = new Socket()) {
      s.connect(
          new InetSocketAddress(
              InetAddress.getByName(control.substring(0, colon)),
              Integer.parseInt(control.substring(colon + 1))),
          1_000);
      s.setSoTimeout(1_000);
      String head =
          "DELETE /ebonypond/instances/" + id + " HTTP/1.1\r\nHost: " + control + "\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      String status = Harness.readLine(s.getInputStream());
      boolean accepted = status != null && status.startsWith("HTTP/1.1 2");
      if (accepted) {
        then.run();
      }
      h.log(id + ": answer to the DELETE: " + status);
      return accepted;
    }
  }

  private void accept() {
    while (open) {
      try {
        Socket s = server.accept();
        daemon(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      InputStream in = s.getInputStream();
      while (open) {
        Request r = readHead(in);
        if (r == null) {
          return;
        }
        if (!handle(r, s)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  static Request readHead(InputStream in) throws IOException {
    String line = Harness.readLine(in);
    if (line == null) {
      return null;
    }
    Request r = new Request();
    String[] parts = line.split(" ");
    r.method = parts[0];
    r.path = parts[1];
    for (String l = Harness.readLine(in); l != null && !l.isEmpty(); l = Harness.readLine(in)) {
      int colon = l.indexOf(':');
      r.headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    return r;
  }

  /** Handles a request whose body has not been read; returns whether the connection is kept. */
  boolean handle(Request r, Socket s) throws IOException {
    r.body = s.getInputStream().readNBytes(r.length());
    if (r.path.equals("/health")) {
      return write(s, 200, r, "Instance-Id: " + id + "\r\n", "");
    }
    if (!r.header("Expect-Instance").isEmpty() && !r.header("Expect-Instance").equals(id)) {
      return write(s, 421, r, "Not-Executed: 1\r\nAt-Server: " + id + "\r\n", "");
    }
    run(r);
    try {
      Thread.sleep(WORK_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return write(s, 200, r, "Origin-Seal: seal-" + id + "\r\n", "answer of " + id);
  }

  void run(Request r) {
    synchronized (runs) {
      runs.add(new Run(h.now(), r.header("Attempt-Id"), r.path, r.length()));
    }
    h.log(id + " runs " + r.header("Attempt-Id"));
  }

  boolean write(Socket s, int status, Request r, String headers, String body) throws IOException {
    String attempt = r.header("Attempt-Id");
    String head =
        "HTTP/1.1 " + status + " Status\r\n"
            + (attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n")
            + headers
            + (leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "")
            + "Content-Length: " + body.length() + "\r\n\r\n";
    OutputStream out = s.getOutputStream();
    out.write((head + body).getBytes(StandardCharsets.UTF_8));
    out.flush();
    return !leaving;
  }

  @Override
  public void close() throws IOException {
    open = false;
    server.close();
  }
}
