package org.ebonypond.bench.report;

import java.util.ArrayList;
import java.util.List;

/**
 * What the daemons used while the system was idle.
 *
 * @param leader the control leader
 * @param followers the mean of the other control replicas
 * @param entries the mean of the daemons that are only entries, or zeros when there are none
 */
record Window(Use leader, Use followers, Use entries) {
  private static final int ATTEMPTS = 3;

  /**
   * Measures for some seconds; starts again when the leader changed.
   *
   * @throws IllegalStateException if the leader changed in each attempt
   */
  static Window measure(Cluster c, double seconds) throws Exception {
    for (int i = 0; i < ATTEMPTS; i++) {
      int leader = c.leader();
      Window w = measure(c, seconds, leader);
      if (c.leader() == leader) {
        return w;
      }
    }
    throw new IllegalStateException("the leader changed during each measurement");
  }

  private static Window measure(Cluster c, double seconds, int leader) throws Exception {
    int n = c.size();
    double[] cpu = new double[n];
    double[] sent = new double[n];
    long[] at = new long[n];
    for (int i = 0; i < n; i++) {
      sent[i] = c.sentBytes(i + 1);
      cpu[i] = c.stat(i + 1).cpuSeconds();
      at[i] = System.nanoTime();
    }
    Thread.sleep((long) (seconds * 1_000));
    List<Use> followers = new ArrayList<>();
    List<Use> entries = new ArrayList<>();
    Use first = Use.NONE;
    for (int i = 0; i < n; i++) {
      ProcStat stat = c.stat(i + 1);
      double elapsed = (System.nanoTime() - at[i]) / 1e9;
      Use u =
          new Use(
              (stat.cpuSeconds() - cpu[i]) / elapsed * 100,
              (c.sentBytes(i + 1) - sent[i]) / elapsed,
              stat.residentBytes());
      if (i + 1 == leader) {
        first = u;
      } else if (i < Cluster.REPLICAS) {
        followers.add(u);
      } else {
        entries.add(u);
      }
    }
    return new Window(first, Use.mean(followers), Use.mean(entries));
  }

  /**
   * The use of one daemon.
   *
   * @param cpuPercent the share of one core, in percent
   * @param sentBytesPerSecond the payload sent to other daemons
   * @param residentBytes the memory at the end
   */
  record Use(double cpuPercent, double sentBytesPerSecond, double residentBytes) {
    static final Use NONE = new Use(0, 0, 0);

    static Use mean(List<Use> all) {
      double cpu = 0;
      double sent = 0;
      double resident = 0;
      for (Use u : all) {
        cpu += u.cpuPercent / all.size();
        sent += u.sentBytesPerSecond / all.size();
        resident += u.residentBytes / all.size();
      }
      return new Use(cpu, sent, resident);
    }
  }
}
