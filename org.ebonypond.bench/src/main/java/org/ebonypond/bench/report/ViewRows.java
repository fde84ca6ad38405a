package org.ebonypond.bench.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongFunction;
import org.ebonypond.events.EventSink;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.ViewFollower;
import org.ebonypond.server.timer.ScheduledTimerService;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.time.HybridClock;
import org.ebonypond.time.SuspensionDetector;

/**
 * Measures the time from the operator's request until a document is in force at every follower, and
 * the CPU and sent bytes of the leader by number of followers. The followers are many {@link
 * ViewFollower}s of this process, the class that the daemon uses. Each has its own connections to
 * the processes of the replicas.
 */
final class ViewRows {
  private static final String SOURCE = "ViewRows";

  private final Rows rows;
  private final Cluster cluster;
  private final LongFunction<String> document;
  private final int[] counts;
  private final int repeats;
  private final double windowSeconds;
  private long version;

  ViewRows(
      Rows rows,
      Cluster cluster,
      LongFunction<String> document,
      long version,
      int[] counts,
      int repeats,
      double windowSeconds) {
    this.rows = rows;
    this.cluster = cluster;
    this.document = document;
    this.version = version;
    this.counts = counts.clone();
    this.repeats = repeats;
    this.windowSeconds = windowSeconds;
  }

  void measure() throws Exception {
    ScheduledExecutorService threads = Executors.newScheduledThreadPool(4);
    ScheduledTimerService timers = new ScheduledTimerService(threads);
    Map<String, Long> versionInForce = new ConcurrentHashMap<>();
    List<PeerNetwork> networks = new ArrayList<>();
    double[] x = new double[counts.length];
    double[] cpu = new double[counts.length];
    double[] sent = new double[counts.length];
    try {
      for (int i = 0; i < counts.length; i++) {
        while (networks.size() < counts[i]) {
          networks.add(addFollower(networks.size(), timers, versionInForce));
        }
        IdleUsage usage = IdleUsage.measure(cluster, windowSeconds);
        x[i] = counts[i];
        cpu[i] = usage.leader().cpuPercent();
        sent[i] = usage.leader().sentBytesPerSecond();
        rows.add("view.leader.cpu." + counts[i], cpu[i], "% of a core", "/proc/PID/stat");
        rows.add("view.leader.sent." + counts[i], sent[i], "B/s", "/metrics");
        measureChanges(counts[i], versionInForce);
      }
    } finally {
      threads.shutdownNow();
      networks.forEach(PeerNetwork::close);
    }
    rows.add("view.leader.cpu.slope", Line.fit(x, cpu).slope(), "% per entry", "Line");
    rows.add("view.leader.sent.slope", Line.fit(x, sent).slope(), "B/s per entry", "Line");
  }

  private PeerNetwork addFollower(
      int i, ScheduledTimerService timers, Map<String, Long> versionInForce) {
    String name = "follower-" + i;
    PeerNetwork network = new PeerNetwork(name, new HybridClock(System::currentTimeMillis), timers);
    EntryInfo self = new EntryInfo(name, "zone-" + i % 3, "127.0.0.1:1", false, 1);
    SuspensionDetector suspensions =
        new SuspensionDetector(timers, System::currentTimeMillis, suspendedMillis -> {});
    ViewFollower f =
        new ViewFollower(
            network, timers, suspensions, EventSink.NONE, cluster.replicas(), () -> self, List::of);
    f.onView(v -> versionInForce.put(name, v.document() == null ? 0 : v.document().version()));
    f.start();
    return network;
  }

  private void measureChanges(int count, Map<String, Long> versionInForce) throws Exception {
    double[] millis = new double[repeats];
    for (int r = 0; r < repeats; r++) {
      version++;
      final long newVersion = version;
      // Varies the position of the changes in the polling period of the followers.
      Thread.sleep(137L * (r % 4));
      long start = System.nanoTime();
      cluster.apply(document.apply(newVersion), "bench-" + newVersion);
      long end = start + 30_000_000_000L;
      while (versionInForce.size() < count
          || versionInForce.values().stream().anyMatch(v -> v < newVersion)) {
        if (System.nanoTime() > end) {
          throw new IllegalStateException("version " + newVersion + " is not in force after 30 s");
        }
        Thread.sleep(1);
      }
      millis[r] = (System.nanoTime() - start) / 1e6;
    }
    Arrays.sort(millis);
    rows.add("view.in-force." + count + ".p50", millis[repeats / 2], "ms", SOURCE);
    rows.add("view.in-force." + count + ".max", millis[repeats - 1], "ms", SOURCE);
  }
}
