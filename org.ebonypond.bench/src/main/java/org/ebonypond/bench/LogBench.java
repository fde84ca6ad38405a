package org.ebonypond.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.events.EventSink;
import org.ebonypond.server.storage.FileLogStorage;

/**
 * Measures the replicated log on files: group commit compared with one sync per record, and the
 * recovery time. Arguments: a folder for the files, the seconds of each measurement (default 5),
 * and optionally the duration of a sync in milliseconds, in which case commits are measured on a
 * {@link ModelledDisk}.
 */
public final class LogBench {
  private static final int RECORD_BYTES = 200;
  private static final int[] PROPOSERS = {1, 8, 64};
  private static final int[] RECORDS = {100, 1_000, 10_000};
  private static final int REPEATS = 7;

  private final Path folder;
  private final long seconds;
  private final long modelledSyncMillis;

  private LogBench(Path folder, long seconds, long modelledSyncMillis) {
    this.folder = folder;
    this.seconds = seconds;
    this.modelledSyncMillis = modelledSyncMillis;
  }

  /** Runs all measurements and prints a table. */
  public static void main(String[] args) throws IOException, InterruptedException {
    Path parent = Path.of(args.length > 0 ? args[0] : System.getProperty("java.io.tmpdir"));
    Path folder = Files.createTempDirectory(parent, "log-bench");
    try {
      long seconds = args.length > 1 ? Long.parseLong(args[1]) : 5;
      long syncMillis = args.length > 2 ? Long.parseLong(args[2]) : -1;
      LogBench bench = new LogBench(folder, seconds, syncMillis);
      bench.commits();
      bench.recovery();
    } finally {
      delete(folder);
    }
  }

  private void commits() throws IOException, InterruptedException {
    if (modelledSyncMillis >= 0) {
      System.out.println("modelled disk: " + modelledSyncMillis + " ms for each sync");
    }
    System.out.printf(
        "%-28s %9s %10s %10s %10s%n",
        "records of 200 bytes", "proposers", "records/s", "p50 ms", "p99 ms");
    // The first measurement of each kind is a warm-up of the JIT compiler and is not printed.
    syncEach(1, false);
    for (int n : PROPOSERS) {
      syncEach(n, true);
    }
    for (int replicas : new int[] {1, 3}) {
      groupCommit(replicas, 8, false);
      for (int n : PROPOSERS) {
        groupCommit(replicas, n, true);
      }
    }
  }

  /** Measures proposers that write one after the other, with one sync per record. */
  private void syncEach(int proposers, boolean print) throws IOException, InterruptedException {
    Path path = Files.createDirectory(folder.resolve("sync-each"));
    try (LogStorage s = open(path, "a")) {
      Histogram times =
          load(
              proposers,
              () -> {
                synchronized (s) {
                  s.append(List.of(entry(s.lastIndex() + 1)));
                  s.sync();
                }
              });
      report("one sync for each record", proposers, times, print);
    }
    delete(path);
  }

  private void groupCommit(int replicas, int proposers, boolean print)
      throws IOException, InterruptedException {
    Path path = Files.createDirectory(folder.resolve("group"));
    try (LocalGroup group = new LocalGroup(replicas, name -> open(path, name))) {
      group.awaitLeader();
      byte[] command = new byte[RECORD_BYTES];
      Histogram times = load(proposers, () -> group.commit(command));
      report("group commit, " + replicas + " replica(s)", proposers, times, print);
    }
    delete(path);
  }

  private LogStorage open(Path path, String name) {
    Random random = new Random(name.hashCode());
    if (modelledSyncMillis < 0) {
      return FileLogStorage.open(path.resolve(name), name, random, EventSink.NONE);
    }
    return new DiskLogStorage(
        new ModelledDisk(modelledSyncMillis),
        name,
        random,
        EventSink.NONE,
        DiskLogStorage.DEFAULT_SEGMENT_BYTES);
  }

  private Histogram load(int proposers, Runnable action) throws InterruptedException {
    Histogram times = new ConcurrentHistogram(3);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < proposers; i++) {
      Thread t =
          new Thread(
              () -> {
                long start = System.nanoTime();
                while (start < end) {
                  action.run();
                  long now = System.nanoTime();
                  times.recordValue(TimeUnit.NANOSECONDS.toMicros(now - start));
                  start = now;
                }
              });
      t.start();
      threads.add(t);
    }
    for (Thread t : threads) {
      t.join();
    }
    return times;
  }

  private void report(String name, int proposers, Histogram times, boolean print) {
    if (!print) {
      return;
    }
    System.out.printf(
        "%-28s %9d %10d %10.3f %10.3f%n",
        name,
        proposers,
        times.getTotalCount() / seconds,
        times.getValueAtPercentile(50) / 1_000.0,
        times.getValueAtPercentile(99) / 1_000.0);
  }

  /**
   * Measures opening a log and applying all of its records. The election of the single replica
   * needs syncs; it is measured separately from reading, because its time does not depend on the
   * number of records.
   */
  private void recovery() throws IOException {
    System.out.printf(
        "%n%-28s %10s %12s %12s%n",
        "recovery, median of " + REPEATS, "records", "read ms", "elect+apply");
    for (int records : RECORDS) {
      Path path = folder.resolve("recovery");
      writeLog(path, records);
      double[] read = new double[REPEATS];
      double[] apply = new double[REPEATS];
      for (int i = 0; i < REPEATS; i++) {
        long start = System.nanoTime();
        try (LogStorage s = FileLogStorage.open(path, "a", new Random(1), EventSink.NONE)) {
          final RaftNode node = node(s, 0);
          final long opened = System.nanoTime();
          awaitLeader(node, 1_000);
          read[i] = (opened - start) / 1e6;
          apply[i] = (System.nanoTime() - opened) / 1e6;
          if (node.appliedIndex() < records) {
            throw new IllegalStateException("applied " + node.appliedIndex() + " of " + records);
          }
        }
      }
      System.out.printf("%-28s %10d %12.2f %12.2f%n", "", records, median(read), median(apply));
      delete(path);
    }
  }

  private static double median(double[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }

  /** Writes records with one sync per 8 records, like 8 concurrent proposers. */
  private static void writeLog(Path path, int records) {
    try (LogStorage s = FileLogStorage.open(path, "a", new Random(1), EventSink.NONE)) {
      RaftNode node = node(s, 0);
      awaitLeader(node, 1_000);
      for (int i = 0; i < records; i++) {
        node.propose(1_000, i, new byte[RECORD_BYTES]);
        if (i % 8 == 7) {
          node.flush(1_000);
        }
      }
      node.flush(1_000);
    }
  }

  private static void awaitLeader(RaftNode node, long now) {
    node.tick(now);
    node.flush(now);
    if (!node.isLeader()) {
      throw new IllegalStateException("the replica is not the leader after one election timeout");
    }
  }

  private static RaftNode node(LogStorage s, long now) {
    RaftConfig standard = RaftConfig.standard("a", List.of("a"));
    RaftConfig config =
        new RaftConfig(
            "a",
            List.of("a"),
            standard.heartbeatMillis(),
            standard.electionMinMillis(),
            standard.electionMaxMillis(),
            Integer.MAX_VALUE,
            0,
            standard.maxBatchBytes(),
            standard.chunkBytes());
    return new RaftNode(
        config, s, new LocalGroup.CountingStateMachine(), new Random(1), EventSink.NONE, now);
  }

  private static LogEntry entry(long index) {
    return new LogEntry(index, 1, EntryType.COMMAND, new byte[RECORD_BYTES]);
  }

  private static void delete(Path path) throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(p);
      }
    }
  }
}
