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
 * Compares the latency of calls through an entry with that of direct calls to the same service
 * stand-in. Arrivals are open-loop and alternate between the three paths. A latency starts when the
 * request was due, so that it includes delays in this tool and behind slow answers.
 */
final class RouteRows {
  private static final String SOURCE = "RouteRows";
  private static final Pattern OUTCOME = Pattern.compile("\"outcome\":\"([a-z-]+)\"");
  private static final int RATE = 300;
  private static final int LATENCY_MILLIS = 5;
  private static final int OK = 200;
  private static final int MEASURED_ENTRIES = 3;
  private static final double MICROS_PER_MILLI = 1_000;

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
    double before = cpuSeconds();
    Map<CallPath, Histogram> latencies = run(seconds, "run", failed);
    final double usedSeconds = cpuSeconds() - before;
    for (CallPath p : CallPath.values()) {
      Histogram h = latencies.get(p);
      rows.add("route." + p.id() + ".count", h.getTotalCount(), "calls", SOURCE);
      rows.add("route." + p.id() + ".p50", millis(h, 50), "ms", SOURCE);
      rows.add("route." + p.id() + ".p99", millis(h, 99), "ms", SOURCE);
    }
    for (String quantile : List.of("p50", "p99")) {
      double direct = rows.value("route.direct." + quantile);
      addDifference("added", direct, "route.routed." + quantile, quantile);
      addDifference("keyed-added", direct, "route.keyed." + quantile, quantile);
    }
    rows.add("route.failed", failed.total(), "calls", SOURCE);
    failures = failed.lines();
    rows.add("route.seconds", seconds, "s", SOURCE);
    double routed =
        latencies.get(CallPath.ROUTED).getTotalCount()
            + latencies.get(CallPath.KEYED).getTotalCount();
    rows.add("route.cpu", usedSeconds * 1e6 / routed, "us/call", "/proc/PID/stat of 3 daemons");
  }

  private void addDifference(String name, double direct, String id, String quantile) {
    double other = rows.value(id);
    rows.add("route." + name + "." + quantile, other - direct, "ms", SOURCE);
    rows.add("route." + name + ".ratio." + quantile, other / direct, "ratio", SOURCE);
  }

  private void startService() throws Exception {
    StringBuilder entries = new StringBuilder();
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      entries.append(n == 1 ? "" : ",").append(cluster.httpAddress(n));
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
            // Far above the load, so that a pause of the machine is not treated as overload.
            "--max-concurrency=10000",
            "--cold-ceiling=10000",
            "--warm-ms=1000"));
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      HttpRequest r = request(CallPath.ROUTED, (n - 1) * CallPath.values().length, "start");
      Cluster.await(
          60,
          "entry " + n + " routes to the service",
          () -> Cluster.HTTP.send(r, HttpResponse.BodyHandlers.discarding()).statusCode() == OK);
    }
  }

  private double cpuSeconds() throws Exception {
    double sum = 0;
    for (int n = 1; n <= MEASURED_ENTRIES; n++) {
      sum += cluster.stat(n).cpuSeconds();
    }
    return sum;
  }

  private Map<CallPath, Histogram> run(int forSeconds, String keyPrefix, Failures failed) {
    Map<CallPath, Histogram> latencies = new EnumMap<>(CallPath.class);
    for (CallPath p : CallPath.values()) {
      latencies.put(p, new ConcurrentHistogram(3));
    }
    Phaser inFlight = new Phaser(1);
    long start = System.nanoTime();
    for (int i = 0; i < forSeconds * RATE; i++) {
      long due = start + TimeUnit.SECONDS.toNanos(i) / RATE;
      while (System.nanoTime() < due) {
        LockSupport.parkNanos(due - System.nanoTime());
      }
      CallPath p = CallPath.values()[i % CallPath.values().length];
      inFlight.register();
      Cluster.HTTP
          .sendAsync(request(p, i, keyPrefix), HttpResponse.BodyHandlers.ofString())
          .whenComplete(
              (a, e) -> {
                if (a != null && a.statusCode() / 100 == 2) {
                  latencies.get(p).recordValue((System.nanoTime() - due) / 1_000);
                } else {
                  failed.add(p, a, e);
                }
                inFlight.arriveAndDeregister();
              });
    }
    inFlight.arriveAndAwaitAdvance();
    return latencies;
  }

  private HttpRequest request(CallPath p, int i, String keyPrefix) {
    String direct = "http://" + cluster.serviceAddress();
    int entry = i / CallPath.values().length % MEASURED_ENTRIES + 1;
    String path = p == CallPath.KEYED ? "/refunds" : "/orders/" + i;
    String root = p == CallPath.DIRECT ? direct : cluster.url(entry, "/services/orders");
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create(root + path))
            .timeout(Duration.ofSeconds(10))
            .header("Ebonypond-Workspace", "surabaya");
    if (p == CallPath.KEYED) {
      b.header("Idempotency-Key", keyPrefix + "-" + i)
          .POST(HttpRequest.BodyPublishers.ofString("{\"keg\":" + i + "}"));
    }
    return b.build();
  }

  private static double millis(Histogram h, double percentile) {
    return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /**
   * Returns one line for each kind of failure with the number of calls, which the report must
   * contain.
   */
  List<String> failures() {
    return failures;
  }

  /** Counts the calls without a successful answer by kind of failure. Thread-safe. */
  private static final class Failures {
    private final Map<String, Integer> counts = new TreeMap<>();

    synchronized void add(CallPath p, @Nullable HttpResponse<String> a, @Nullable Throwable e) {
      String kind = String.valueOf(e);
      if (a != null) {
        // Uses only the outcome, because identifiers in the body differ in each call.
        Matcher m = OUTCOME.matcher(a.body());
        kind = a.statusCode() + (m.find() ? " " + m.group(1) : "");
      }
      counts.merge(p.id() + ": " + kind, 1, Integer::sum);
    }

    synchronized int total() {
      return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized List<String> lines() {
      return counts.entrySet().stream().map(c -> c.getValue() + " calls " + c.getKey()).toList();
    }
  }

  /**
   * The paths to the service: a lookup without and through an entry, and a call with an idempotency
   * key through an entry.
   */
  private enum CallPath {
    DIRECT,
    ROUTED,
    KEYED;

    String id() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
