package org.ebonypond.bench.report;

import java.util.Locale;

/**
 * Measures the CPU, memory and sent bytes of idle daemons by number of entries and workers. A
 * worker is a backend server that announces itself.
 */
final class NodeRows {
  private static final double MEGABYTE = 1 << 20;

  private final Rows rows;
  private final Cluster cluster;
  private final double windowSeconds;
  private final long settleMillis;

  /**
   * Creates the measurement.
   *
   * @param settleMillis the time between two numbers of workers, in milliseconds; the leader drops
   *     a load that is not reported for 5 s
   */
  NodeRows(Rows rows, Cluster cluster, double windowSeconds, long settleMillis) {
    this.settleMillis = settleMillis;
    this.rows = rows;
    this.cluster = cluster;
    this.windowSeconds = windowSeconds;
  }

  void measure(int... workers) throws Exception {
    Thread.sleep(settleMillis);
    double[] x = new double[workers.length];
    double[] cpu = new double[workers.length];
    double[] sent = new double[workers.length];
    for (int i = 0; i < workers.length; i++) {
      try (IdleAnnouncer a = new IdleAnnouncer(cluster, workers[i])) {
        a.start();
        Thread.sleep(settleMillis / 2);
        IdleUsage usage = IdleUsage.measure(cluster, windowSeconds);
        String suffix = String.format(Locale.ROOT, ".e%d.w%d", cluster.size(), workers[i]);
        add("leader" + suffix, usage.leader());
        add("replica" + suffix, usage.followers());
        if (cluster.size() > Cluster.REPLICAS) {
          add("entry" + suffix, usage.entries());
        }
        x[i] = workers[i];
        cpu[i] = usage.leader().cpuPercent();
        sent[i] = usage.leader().sentBytesPerSecond();
      }
      Thread.sleep(settleMillis);
    }
    String suffix = ".slope.e" + cluster.size();
    rows.add("node.leader.cpu" + suffix, Line.fit(x, cpu).slope(), "% per worker", "Line");
    rows.add("node.leader.sent" + suffix, Line.fit(x, sent).slope(), "B/s per worker", "Line");
  }

  private void add(String role, IdleUsage.Usage u) {
    rows.add("node." + role + ".cpu", u.cpuPercent(), "% of a core", "/proc/PID/stat");
    rows.add("node." + role + ".sent", u.sentBytesPerSecond(), "B/s", "/metrics peer_sent_bytes");
    rows.add("node." + role + ".rss", u.residentBytes() / MEGABYTE, "MB", "/proc/PID/status VmRSS");
  }
}
