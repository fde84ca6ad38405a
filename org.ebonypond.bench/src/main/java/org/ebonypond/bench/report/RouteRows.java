package org.ebonypond.bench.report;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Compares calls through an entry with direct calls to the same service stand-in. Arrivals are
 * open-loop and the three paths take turns; a time counts from the moment at which the request was
 * due, so that waiting in this tool or behind a slow answer is not hidden.
 */
final class RouteRows {
  private static final String SOURCE = "RouteRows";
  private static final Pattern OUTCOME = Pattern.compile("\"outcome\":\"([a-z-]+)\"");
  private static final int RATE = 300;
  private static final int LATENCY_MILLIS = 5;
  private static final int OK = 200;
  private static final int MEASURED_ENTRIES = 3;
  private static final double MICROS = 1_000;

  private final Rows rows;
  private final Cluster cluster;
  private final ChildProcesses children;
  private final int seconds;
  private List<String> failures = List.of();

  RouteRows(Rows rows, Cluster cluster, ChildProcesses children, int seconds) {
    this.rows = rows;
    this.cluster = cluster;
    this.children = children;
    this.seconds = seconds;
  }

  void measure() throws Exception {
    startService();
    run(Math.max(3, seconds / 2), "warm", new Failures());
    Failures failed = new Failures();
    double before = cpu();
    Map<Path, Histogram> times = run(seconds, "run", failed);
    final double cpu = cpu() - before;
    for (Path p : Path.values()) {
      Histogram h = times.get(p);
      rows.add("route." + p.id() + ".count", h.getTotalCount(), "calls", SOURCE);
      rows.add("route." + p.id() + ".p50", millis(h, 50), "ms", SOURCE);
      rows.add("route." + p.id() + ".p99", millis(h, 99), "ms", SOURCE);
    }
    for (String q : List.of("p50", "p99")) {
      double direct = rows.value("route.direct." + q);
      compare("added", direct, "route.routed." + q, q);
      compare("keyed-added", direct, "route.keyed." + q, q);
    }
    rows.add("route.failed", failed.total(), "calls", SOURCE);
    failures = failed.lines();
    rows.add("route.seconds", seconds, "s", SOURCE);
    double routed = times.get(Path.ROUTED).getTotalCount() + times.get(Path.KEYED).getTotalCount();
    rows.add("route.cpu", cpu * 1e6 / routed, "us/call", "/proc/PID/stat of 3 daemons");
  }

  private void compare(String name, double direct, String id, String q) {
    double other = rows.value(id);
    rows.add("route." + name + "." + q, other - direct, "ms", SOURCE);
    rows.add("route." + name + ".ratio." + q, other / direct, "ratio", SOURCE);
  }

  private void startService() throws Exception {
    StringBuilder entries = new StringBuilder();
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      entries.append(n == 1 ? "" : ",").append(cluster.http(n));
    }
    children.start(
        "orders-1",
        List.of("-Xmx64m", "-XX:+UseSerialGC"),
        "org.ebonypond.junit.http.ServiceStandIn",
        List.of(
            "--instance=orders-1",
            "--address=" + cluster.serviceAddress(),
            "--zone=zone-0",
            "--service=orders",
            "--entries=" + entries,
            "--latency-ms=" + LATENCY_MILLIS,
            // Far above the load, so that a pause of the machine is not taken for an overload.
            "--max-concurrency=10000",
            "--cold-ceiling=10000",
            "--warm-ms=1000"));
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      HttpRequest r = request(Path.ROUTED, (n - 1) * Path.values().length, "start");
      Cluster.await(
          60,
          "entry " + n + " routes to the service",
          () -> Cluster.HTTP.send(r, HttpResponse.BodyHandlers.discarding()).statusCode() == OK);
    }
  }

  private double cpu() throws Exception {
    double sum = 0;
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      sum += cluster.stat(n).cpuSeconds();
    }
    return sum;
  }

  private Map<Path, Histogram> run(int forSeconds, String keys, Failures failed) {
    Map<Path, Histogram> times = new EnumMap<>(Path.class);
    for (Path p : Path.values()) {
      times.put(p, new ConcurrentHistogram(3));
    }
    Phaser open = new Phaser(1);
    long start = System.nanoTime();
    for (int i = 0; i < forSeconds * RATE; i++) {
      long due = start + TimeUnit.SECONDS.toNanos(i) / RATE;
      while (System.nanoTime() < due) {
        LockSupport.parkNanos(due - System.nanoTime());
      }
      Path p = Path.values()[i % Path.values().length];
      open.register();
      Cluster.HTTP
          .sendAsync(request(p, i, keys), HttpResponse.BodyHandlers.ofString())
          .whenComplete(
              (a, e) -> {
                if (a != null && a.statusCode() / 100 == 2) {
                  times.get(p).recordValue((System.nanoTime() - due) / 1_000);
                } else {
                  failed.add(p, a, e);
                }
                open.arriveAndDeregister();
              });
    }
    open.arriveAndAwaitAdvance();
    return times;
  }

  private HttpRequest request(Path p, int i, String keys) {
    String direct = "http://" + cluster.serviceAddress();
    int entry = i / Path.values().length % MEASURED_ENTRIES + 1;
    String path = p == Path.KEYED ? "/refunds" : "/orders/" + i;
    String root = p == Path.DIRECT ? direct : cluster.url(entry, "/services/orders");
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create(root + path))
            .timeout(Duration.ofSeconds(10))
            .header("Ebonypond-Workspace", "surabaya");
    if (p == Path.KEYED) {
      b.header("Idempotency-Key", keys + "-" + i)
          .POST(HttpRequest.BodyPublishers.ofString("{\"keg\":" + i + "}"));
    }
    return b.build();
  }

  private static double millis(Histogram h, double percentile) {
    return h.getValueAtPercentile(percentile) / MICROS;
  }

  /** Returns how many calls failed in which way, of which a report must not be silent. */
  List<String> failures() {
    return failures;
  }

  /** Counts the calls that were not answered with a success. Thread-safe. */
  private static final class Failures {
    private final Map<String, Integer> counts = new TreeMap<>();

    synchronized void add(Path p, @Nullable HttpResponse<String> a, @Nullable Throwable e) {
      String what = String.valueOf(e);
      if (a != null) {
        // Only the outcome, because identifiers in the body differ with each call.
        Matcher m = OUTCOME.matcher(a.body());
        what = a.statusCode() + (m.find() ? " " + m.group(1) : "");
      }
      counts.merge(p.id() + ": " + what, 1, Integer::sum);
    }

    synchronized int total() {
      return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized List<String> lines() {
      return counts.entrySet().stream().map(c -> c.getValue() + " calls " + c.getKey()).toList();
    }
  }

  /** The ways to the service: a lookup without and with an entry, and a call with a key. */
  private enum Path {
    DIRECT,
    ROUTED,
    KEYED;

    String id() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
