package org.ebonypond.bench.report;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Announces idle backend servers to the entries, each every 500 ms. They announce a plain service
 * that the document does not contain, so that no entry connects to them.
 */
final class IdleAnnouncer implements AutoCloseable {
  private static final long PERIOD_MILLIS = 500;

  private final Cluster cluster;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

  private final int workers;

  IdleAnnouncer(Cluster cluster, int workers) {
    this.cluster = cluster;
    this.workers = workers;
  }

  void start() {
    for (int i = 0; i < workers; i++) {
      int n = i;
      // Spreads the announcements over the period, as with independent servers.
      timer.scheduleAtFixedRate(
          () -> announce(n), PERIOD_MILLIS * n / workers, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the body of the announcement of the server with the given number, from 0. */
  static String body(int n) {
    return String.format(
        Locale.ROOT,
        "{\"instance\":\"%s\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-%d\","
            + "\"domain\":\"domain-%d\",\"kind\":\"service\",\"service\":\"idle\",\"boot\":\"%s\","
            + "\"status\":\"ready\",\"load\":{\"measuredAt\":%d,\"active\":0,\"waiting\":0,"
            + "\"tokens\":0}}",
        ControlStates.name(n),
        n % 3,
        n / 32,
        ControlStates.boot(n),
        System.currentTimeMillis());
  }

  private void announce(int n) {
    HttpRequest r =
        HttpRequest.newBuilder(
                URI.create(cluster.url(n % cluster.size() + 1, "/platform/v1/announce")))
            .timeout(Duration.ofSeconds(2))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body(n)))
            .build();
    Cluster.HTTP.sendAsync(r, HttpResponse.BodyHandlers.discarding());
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
