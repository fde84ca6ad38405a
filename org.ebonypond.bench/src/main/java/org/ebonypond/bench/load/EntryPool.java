package org.ebonypond.bench.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates the load balancer of the platform: polls the readiness of each entry and returns the
 * ready ones in turn.
 */
final class EntryPool {
  private static final long CHECK_MILLIS = 200;
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int OK = 200;

  private final List<String> entries;
  private final HttpClient client;
  private final Map<String, Boolean> ready = new ConcurrentHashMap<>();
  private final AtomicInteger next = new AtomicInteger();

  EntryPool(List<String> entries, HttpClient client) {
    this.entries = List.copyOf(entries);
    this.client = client;
  }

  void start(ScheduledExecutorService timer) {
    entries.forEach(e -> ready.put(e, true));
    timer.scheduleWithFixedDelay(
        () -> entries.forEach(this::check), 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the next ready entry, or the next entry in turn if none is ready. */
  String next() {
    int start = Math.floorMod(next.getAndIncrement(), entries.size());
    for (int i = 0; i < entries.size(); i++) {
      String e = entries.get((start + i) % entries.size());
      if (ready.getOrDefault(e, false)) {
        return e;
      }
    }
    return entries.get(start);
  }

  private void check(String entry) {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + entry + "/health/ready"))
            .timeout(TIMEOUT)
            .build();
    client
        .sendAsync(r, HttpResponse.BodyHandlers.discarding())
        .whenComplete((a, e) -> ready.put(entry, a != null && a.statusCode() == OK));
  }
}
