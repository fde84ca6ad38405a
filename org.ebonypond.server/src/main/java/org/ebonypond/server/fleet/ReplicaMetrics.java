package org.ebonypond.server.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ebonypond.fleet.FreeEvidence;

/** Metrics of a control replica: the load of its event loop and the duration of commits. */
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

  /** Registers a gauge whose value is read when the metrics are read. */
  void gauge(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }

  /** Records an answered poll, its duration and the size of the answer. */
  void pollAnswered(boolean fromReplica, long nanos, int bytes) {
    (fromReplica ? replicaPolls : entryPolls).inc();
    pollMicros.inc(TimeUnit.NANOSECONDS.toMicros(nanos));
    pollBytes.inc(bytes);
  }

  /** Counts a heartbeat of an instance. */
  void heartbeat() {
    heartbeats.inc();
  }

  /** Counts an instance that was taken for a new group. */
  void joined(FreeEvidence evidence) {
    registry.counter("joins{evidence=\"" + evidence + "\"}").inc();
  }

  /** Records the delay of a timer of the event loop. */
  void loopDelay(long millis) {
    loopDelay.update(millis);
  }

  /**
   * Records the end of a proposal.
   *
   * @param command the kind of command, used as a label; must have few different values
   */
  void commitEnded(String command, boolean committed, long millis) {
    String labels = "{command=\"" + command + "\",committed=\"" + committed + "\"}";
    histogram("commit_millis" + labels).update(millis);
  }

  /** Returns the counts since the start of the process. */
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
   * Counts over a period.
   *
   * @param entryPolls the number of answered polls from entries
   * @param replicaPolls the number of answered polls from other replicas
   * @param pollMicros the time spent on answers to polls, in microseconds
   * @param pollBytes the size of the answers to polls, in bytes
   * @param heartbeats the number of heartbeats from instances
   */
  record Totals(
      long entryPolls, long replicaPolls, long pollMicros, long pollBytes, long heartbeats) {
    Totals since(Totals earlier) {
      return new Totals(
          entryPolls - earlier.entryPolls,
          replicaPolls - earlier.replicaPolls,
          pollMicros - earlier.pollMicros,
          pollBytes - earlier.pollBytes,
          heartbeats - earlier.heartbeats);
    }
  }
}
