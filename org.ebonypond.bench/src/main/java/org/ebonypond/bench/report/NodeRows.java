package org.ebonypond.bench.report;

import java.util.Locale;

/** Measures what the daemons of an idle system use, by number of entries and workers. */
final class NodeRows {
  private static final double MEGABYTE = 1 << 20;

  private final Rows rows;
  private final Cluster cluster;
  private final double windowSeconds;
  private final long settleMillis;

  /**
   * Creates the measurement.
   *
   * @param settleMillis the wait after each number of workers; the leader forgets a load after 5 s
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
      try (Announcements a = new Announcements(cluster, workers[i])) {
        a.start();
        Thread.sleep(settleMillis / 2);
        Window w = Window.measure(cluster, windowSeconds);
        String at = String.format(Locale.ROOT, ".e%d.w%d", cluster.size(), workers[i]);
        add("leader" + at, w.leader());
        add("replica" + at, w.followers());
        if (cluster.size() > Cluster.REPLICAS) {
          add("entry" + at, w.entries());
        }
        x[i] = workers[i];
        cpu[i] = w.leader().cpuPercent();
        sent[i] = w.leader().sentBytesPerSecond();
      }
      Thread.sleep(settleMillis);
    }
    String at = ".slope.e" + cluster.size();
    rows.add("node.leader.cpu" + at, Line.fit(x, cpu).slope(), "% per worker", "Line");
    rows.add("node.leader.sent" + at, Line.fit(x, sent).slope(), "B/s per worker", "Line");
  }

  private void add(String who, Window.Use u) {
    rows.add("node." + who + ".cpu", u.cpuPercent(), "% of a core", "/proc/PID/stat");
    rows.add("node." + who + ".sent", u.sentBytesPerSecond(), "B/s", "/metrics peer_sent_bytes");
    rows.add("node." + who + ".rss", u.residentBytes() / MEGABYTE, "MB", "/proc/PID/status VmRSS");
  }
}
