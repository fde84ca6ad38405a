package org.ebonypond.server.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;

/**
 * Counters and latencies of the forwarding path. Outcomes and reasons come from a fixed set of
 * names.
 */
public final class ForwardMetrics {
  private static final int WINDOW_SECONDS = 60;

  private final MetricRegistry registry;

  /** Creates the metrics in a registry. */
  public ForwardMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Counts a finished request and records its duration. */
  public void ended(String kind, String outcome, String reason, long tookMillis) {
    counter("requests", "kind", kind, "outcome", outcome, "reason", reason).inc();
    histogram("request_millis", "kind", kind, "outcome", outcome).update(tookMillis);
  }

  /** Counts a request that is sent to a backend server. */
  public void sent(String kind, String cause) {
    counter("sends", "kind", kind, "cause", cause).inc();
  }

  /** Counts an attempt that failed at a backend server or on the way to it. */
  public void sendFailed(String kind, String reason) {
    counter("send_failures", "kind", kind, "reason", reason).inc();
  }

  /** Records the time to the first event of a stream, or to the whole answer of another call. */
  public void firstOutput(String kind, long millis) {
    histogram("first_millis", "kind", kind).update(millis);
  }

  private Counter counter(String name, String... labels) {
    return registry.counter(withLabels(name, labels));
  }

  private Histogram histogram(String name, String... labels) {
    return registry.histogram(
        withLabels(name, labels),
        () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
  }

  private static String withLabels(String name, String... labels) {
    StringBuilder b = new StringBuilder(name).append('{');
    for (int i = 0; i < labels.length; i += 2) {
      b.append(i == 0 ? "" : ",").append(labels[i]).append("=\"").append(labels[i + 1]).append('"');
    }
    return b.append('}').toString();
  }
}
