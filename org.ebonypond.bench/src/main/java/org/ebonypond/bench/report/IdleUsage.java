package org.ebonypond.bench.report;

import java.util.ArrayList;
import java.util.List;

/**
 * The resource usage of the daemons while the system was idle.
 *
 * @param leader the control leader
 * @param followers the mean of the other control replicas
 * @param entries the mean of the daemons that are only entries, or zeros when there are none
 */
record IdleUsage(Usage leader, Usage followers, Usage entries) {
  private static final int ATTEMPTS = 3;

  /**
   * Measures for the given time; measures again if the leader changed meanwhile.
   *
   * @throws IllegalStateException if the leader changed in each attempt
   */
  static IdleUsage measure(Cluster c, double seconds) throws Exception {
    for (int i = 0; i < ATTEMPTS; i++) {
      int leader = c.leader();
      IdleUsage usage = measure(c, seconds, leader);
      if (c.leader() == leader) {
        return usage;
      }
    }
    throw new IllegalStateException("the leader changed during each measurement");
  }

  private static IdleUsage measure(Cluster c, double seconds, int leader) throws Exception {
    int n = c.size();
    double[] cpu = new double[n];
    double[] sent = new double[n];
    long[] startNanos = new long[n];
    for (int i = 0; i < n; i++) {
      sent[i] = c.sentBytes(i + 1);
      cpu[i] = c.stat(i + 1).cpuSeconds();
      startNanos[i] = System.nanoTime();
    }
    Thread.sleep((long) (seconds * 1_000));
    List<Usage> followers = new ArrayList<>();
    List<Usage> entries = new ArrayList<>();
    Usage leaderUsage = Usage.NONE;
    for (int i = 0; i < n; i++) {
      ProcStat stat = c.stat(i + 1);
      double elapsed = (System.nanoTime() - startNanos[i]) / 1e9;
      Usage u =
          new Usage(
              (stat.cpuSeconds() - cpu[i]) / elapsed * 100,
              (c.sentBytes(i + 1) - sent[i]) / elapsed,
              stat.residentBytes());
      if (i + 1 == leader) {
        leaderUsage = u;
      } else if (i < Cluster.REPLICAS) {
        followers.add(u);
      } else {
        entries.add(u);
      }
    }
    return new IdleUsage(leaderUsage, Usage.mean(followers), Usage.mean(entries));
  }

  /**
   * The mean usage of one or more daemons.
   *
   * @param cpuPercent the CPU time as a percentage of one core
   * @param sentBytesPerSecond the payload sent to other daemons, in bytes per second
   * @param residentBytes the resident set size at the end of the measurement, in bytes
   */
  record Usage(double cpuPercent, double sentBytesPerSecond, double residentBytes) {
    static final Usage NONE = new Usage(0, 0, 0);

    static Usage mean(List<Usage> all) {
      double cpu = 0;
      double sent = 0;
      double resident = 0;
      for (Usage u : all) {
        cpu += u.cpuPercent / all.size();
        sent += u.sentBytesPerSecond / all.size();
        resident += u.residentBytes / all.size();
      }
      return new Usage(cpu, sent, resident);
    }
  }
}
