package org.ebonypond.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ebonypond.server.settings.ReplicaAddress;

/**
 * Daemons as separate processes on loopback, numbered from 1. All are entries, and the first three
 * are control replicas as well.
 */
final class Cluster {
  static final int REPLICAS = 3;
  static final HttpClient HTTP =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private static final int PEER_OFFSET = 300;
  private static final int SERVICE_OFFSET = 700;
  private static final int OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ChildProcesses children;
  private final Path folder;
  private final int basePort;
  private final List<Process> daemons = new ArrayList<>();

  Cluster(ChildProcesses children, Path folder, int basePort) {
    this.children = children;
    this.folder = folder;
    this.basePort = basePort;
  }

  /** Starts daemons until there are as many as given, and waits until they are live. */
  void grow(int count) throws Exception {
    int first = daemons.size() + 1;
    for (int n = first; n <= count; n++) {
      Path settings = folder.resolve("entry-" + n + ".toml");
      Files.writeString(settings, settings(n));
      daemons.add(
          children.start(
              "entry-" + n,
              List.of("-Xmx128m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"),
              "org.ebonypond.server.Main",
              List.of("--settings", settings.toString())));
    }
    for (int n = first; n <= count; n++) {
      String url = url(n, "/health/live");
      await(60, "entry " + n + " is live", () -> get(url).statusCode() == OK);
    }
  }

  /** Waits until every daemon is ready, which requires a document in force. */
  void awaitReady() throws InterruptedException {
    for (int n = 1; n <= daemons.size(); n++) {
      String url = url(n, "/health/ready");
      await(60, "entry " + n + " is ready", () -> get(url).statusCode() == OK);
    }
  }

  private String settings(int n) {
    StringBuilder s = new StringBuilder();
    s.append("node = \"entry-").append(n).append("\"\n");
    s.append("zone = \"zone-").append((n - 1) % REPLICAS).append("\"\n");
    s.append("http = \"").append(httpAddress(n)).append("\"\n");
    s.append("peer = \"127.0.0.1:").append(basePort + PEER_OFFSET + n).append("\"\n");
    s.append("drain_notice_ms = 100\n");
    if (n <= REPLICAS) {
      s.append("data_folder = \"").append(folder.resolve("data-" + n)).append("\"\n");
    }
    for (ReplicaAddress r : replicas()) {
      s.append("[[replica]]\nname = \"").append(r.name()).append("\"\npeer = \"127.0.0.1:");
      s.append(r.address().getPort()).append("\"\n");
    }
    return s.toString();
  }

  List<ReplicaAddress> replicas() {
    List<ReplicaAddress> out = new ArrayList<>();
    for (int n = 1; n <= REPLICAS; n++) {
      InetSocketAddress a = new InetSocketAddress("127.0.0.1", basePort + PEER_OFFSET + n);
      out.add(new ReplicaAddress("entry-" + n, a));
    }
    return out;
  }

  int size() {
    return daemons.size();
  }

  String httpAddress(int n) {
    return "127.0.0.1:" + (basePort + n);
  }

  String url(int n, String path) {
    return "http://" + httpAddress(n) + path;
  }

  String serviceAddress() {
    return "127.0.0.1:" + (basePort + SERVICE_OFFSET);
  }

  ProcStat stat(int n) throws IOException {
    return ProcStat.read(daemons.get(n - 1).pid());
  }

  /** Returns the number of payload bytes that a daemon has sent to other daemons. */
  double sentBytes(int n) throws Exception {
    for (String line : get(url(n, "/metrics")).body().split("\n")) {
      if (line.startsWith("ebonypond_peer_sent_bytes ")) {
        return Double.parseDouble(line.substring(line.indexOf(' ') + 1));
      }
    }
    throw new IllegalStateException("no peer_sent_bytes in the metrics of entry " + n);
  }

  /** Returns the number of the daemon that is the control leader. */
  int leader() throws Exception {
    JsonNode leader = JSON.readTree(get(url(1, "/admin/v1/status")).body()).path("leader");
    return Integer.parseInt(leader.asText().substring("entry-".length()));
  }

  /** Applies a document; retries until there is a leader. */
  void applyWithRetry(String content, String operationId) throws InterruptedException {
    await(60, "the first document is accepted", () -> put(content, operationId).statusCode() == OK);
  }

  /** Applies a document and returns when it is committed. */
  void apply(String content, String operationId) throws IOException, InterruptedException {
    HttpResponse<String> a = put(content, operationId);
    if (a.statusCode() != OK) {
      throw new IllegalStateException("the document was rejected: " + a.body());
    }
  }

  private HttpResponse<String> put(String content, String operationId)
      throws IOException, InterruptedException {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create(url(1, "/admin/v1/document")))
            .timeout(Duration.ofSeconds(10))
            .header("Ebonypond-Operation-Id", operationId)
            .PUT(HttpRequest.BodyPublishers.ofString(content))
            .build();
    return HTTP.send(r, HttpResponse.BodyHandlers.ofString());
  }

  static HttpResponse<String> get(String url) throws IOException, InterruptedException {
    HttpRequest r = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(5)).build();
    return HTTP.send(r, HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Waits until a condition holds; a condition that throws an {@link IOException} does not hold.
   *
   * @param what the condition, for the message of the exception
   * @throws IllegalStateException if the condition does not hold in time
   */
  static void await(long seconds, String what, Condition c) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end) {
      try {
        if (c.holds()) {
          return;
        }
      } catch (IOException e) {
        // The daemon does not listen yet.
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("timeout after " + seconds + " s: " + what);
  }

  /** A condition that is polled until it holds. */
  interface Condition {
    boolean holds() throws IOException, InterruptedException;
  }
}
