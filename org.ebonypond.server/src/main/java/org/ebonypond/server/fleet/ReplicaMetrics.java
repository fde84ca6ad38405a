package org.ebonypond.server.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counters and times of a control replica: what takes its event loop, and how long commits take.
 */
public final class ReplicaMetrics {
  private static final int WINDOW_SECONDS = 60;

  private final MetricRegistry registry;
  private final Counter entryPolls;
  private final Counter replicaPolls;
  private final Counter heartbeats;
  private final Counter pollMicros;
  private final Counter pollBytes;
  private final Histogram loopDelay;

  /** Creates the metrics in a registry. */
  public ReplicaMetrics(MetricRegistry registry) {
    this.registry = registry;
    entryPolls = registry.counter("polls{from=\"entry\"}");
    replicaPolls = registry.counter("polls{from=\"replica\"}");
    heartbeats = registry.counter("heartbeats");
    pollMicros = registry.counter("poll_micros");
    pollBytes = registry.counter("poll_bytes");
    loopDelay = histogram("loop_delay_millis");
  }

  /** Exposes a value that is read when the metrics are. */
  void gauge(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }

  /** Counts the answer to a poll. */
  void polled(boolean byReplica, long nanos, int bytes) {
    (byReplica ? replicaPolls : entryPolls).inc();
    pollMicros.inc(TimeUnit.NANOSECONDS.toMicros(nanos));
    pollBytes.inc(bytes);
  }

  /** Counts a heartbeat of an instance. */
  void heartbeat() {
    heartbeats.inc();
  }

  /** Notes by how much a timer of the event loop ran late. */
  void loopDelay(long millis) {
    loopDelay.update(millis);
  }

  /**
   * Notes the end of a change or of a barrier.
   *
   * @param command the kind of command; one of few
   */
  void ended(String command, boolean committed, long millis) {
    String labels = "{command=\"" + command + "\",committed=\"" + committed + "\"}";
    histogram("commit_millis" + labels).update(millis);
  }

  /** Returns the polls, the time in them, the bytes of their answers and the heartbeats so far. */
  Totals totals() {
    return new Totals(
        entryPolls.getCount(),
        replicaPolls.getCount(),
        pollMicros.getCount(),
        pollBytes.getCount(),
        heartbeats.getCount());
  }

  private Histogram histogram(String name) {
    return registry.histogram(
        name,
        () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
  }

  /**
   * Counts since the start.
   *
   * @param entryPolls the answered polls of entries
   * @param replicaPolls the answered polls of other replicas
   * @param pollMicros the time in the answers to polls, in microseconds
   * @param pollBytes the bytes of the answers to polls
   * @param heartbeats the heartbeats of instances
   */
  record Totals(
      long entryPolls, long replicaPolls, long pollMicros, long pollBytes, long heartbeats) {
    Totals since(Totals old) {
      return new Totals(
          entryPolls - old.entryPolls,
          replicaPolls - old.replicaPolls,
          pollMicros - old.pollMicros,
          pollBytes - old.pollBytes,
          heartbeats - old.heartbeats);
    }
  }
}
