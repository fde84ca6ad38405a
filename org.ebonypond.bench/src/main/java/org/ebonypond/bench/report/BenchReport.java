package org.ebonypond.bench.report;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Runs all measurements that the capacity page is computed from and writes one report. */
@Command(name = "bench", description = "Measures the rows that the capacity page is computed from")
public final class BenchReport {
  private static final long FULL_SECONDS = 150;
  private static final long QUICK_SECONDS = 12;

  /** The time in milliseconds in which the JIT compiler of new daemons does most of its work. */
  private static final long WARM_UP_MILLIS = 10_000;

  @Option(name = "--quick", description = "Make a short run that only checks the command")
  private boolean quick;

  @Option(name = "--out", description = "Folder of the report")
  private String out = "run/bench";

  @Option(name = "--base-port", description = "First port of the processes on loopback")
  private int basePort = 25_000;

  private final Rows rows = new Rows();
  private final List<String> notes = new ArrayList<>();

  /** Creates a command with default options; the command-line library calls it. */
  public BenchReport() {}

  /** Runs the command; exits with 1 if a measurement failed. */
  public static void main(String[] args) throws Exception {
    System.exit(SingleCommand.singleCommand(BenchReport.class).parse(args).run());
  }

  private int run() throws Exception {
    Path folder = Path.of(out).toAbsolutePath();
    Files.createDirectories(folder);
    Path scratch = Files.createTempDirectory(folder, "processes");
    Instant start = Instant.now();
    final double loadBefore = loadAverage();
    try (ChildProcesses children = new ChildProcesses(scratch)) {
      step("single benchmarks", () -> benchmarks(children, scratch));
      step("sizes", this::sizes);
      step("processes", () -> processes(children, scratch));
    }
    notes.add(
        0,
        String.format(
            Locale.ROOT,
            "# %s run of %s, %d s, %d processors, load average %.1f before and %.1f after",
            quick ? "quick" : "full",
            start.truncatedTo(ChronoUnit.SECONDS),
            Instant.now().getEpochSecond() - start.getEpochSecond(),
            Runtime.getRuntime().availableProcessors(),
            loadBefore,
            loadAverage()));
    rows.write(folder, notes);
    writeCapacity(folder);
    notes.forEach(System.out::println);
    rows.text().forEach(System.out::println);
    boolean failed = notes.stream().anyMatch(n -> n.startsWith("# FAILED"));
    if (!failed) {
      delete(scratch);
    }
    return failed ? 1 : 0;
  }

  /** Computes the figures of the capacity page from the rounded values that the report shows. */
  private void writeCapacity(Path folder) throws IOException {
    try {
      List<String> lines = Capacity.standard().markdown(Rows.parse(rows.csv()));
      Files.write(folder.resolve("capacity.md"), lines);
    } catch (IllegalArgumentException e) {
      Files.deleteIfExists(folder.resolve("capacity.md"));
      System.err.println("capacity.md is not written: " + e.getMessage());
    }
  }

  /**
   * Runs a step. After a failure, which the report lists, the next steps run nevertheless, so that
   * their rows are written.
   */
  private void step(String name, Step s) throws InterruptedException {
    long start = System.nanoTime();
    try {
      s.run();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      notes.add("# FAILED " + name + ": " + e);
    }
    long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start);
    System.err.printf(Locale.ROOT, "%s: %d s%n", name, seconds);
  }

  private void benchmarks(ChildProcesses children, Path scratch) throws Exception {
    String folder = scratch.toString();
    List<Benchmark> all =
        List.of(
            new Benchmark("LogBench", List.of(folder, quick ? "1" : "2"), BenchTables::log),
            new Benchmark("LedgerBench", List.of(quick ? "20000" : "200000"), BenchTables::ledger),
            new Benchmark("RoutingBench", List.of(quick ? "50" : "500"), BenchTables::routing),
            new Benchmark("PlacementBench", List.of("0", "1"), BenchTables::placement));
    List<Process> running = new ArrayList<>();
    for (Benchmark b : all) {
      Process p =
          children.start(b.name, List.of("-Xmx3g"), "org.ebonypond.bench." + b.name, b.args);
      running.add(p);
      if (!quick) {
        await(b.name, p, FULL_SECONDS);
      }
    }
    // A quick run starts all benchmarks at once: it only checks the command, and its values are not
    // used.
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(QUICK_SECONDS);
    for (int i = 0; i < all.size(); i++) {
      Benchmark b = all.get(i);
      if (quick) {
        await(b.name, running.get(i), TimeUnit.NANOSECONDS.toSeconds(end - System.nanoTime()));
      }
      try {
        b.parser.accept(children.output(b.name), rows);
      } catch (IllegalStateException e) {
        notes.add((quick ? "# incomplete: " : "# FAILED ") + e.getMessage());
      }
    }
  }

  private void await(String name, Process p, long seconds) throws InterruptedException {
    if (!p.waitFor(Math.max(1, seconds), TimeUnit.SECONDS)) {
      notes.add("# " + name + " was stopped before its end");
      p.destroyForcibly().waitFor();
    } else if (p.exitValue() != 0) {
      notes.add("# FAILED " + name + ": exit code " + p.exitValue());
    }
  }

  private void sizes() {
    int[] sizes = quick ? new int[] {10, 100, 1_000} : new int[] {10, 100, 1_000, 10_000, 80_000};
    new SizeRows(rows, sizes).measure();
  }

  private void processes(ChildProcesses children, Path scratch) throws Exception {
    Cluster cluster = new Cluster(children, scratch, basePort);
    cluster.grow(Cluster.REPLICAS);
    cluster.applyWithRetry(document(1), "bench-1");
    cluster.awaitReady();
    double window = quick ? 2 : 8;
    Thread.sleep(quick ? 0 : WARM_UP_MILLIS);
    int[] followers = quick ? new int[] {3, 9} : new int[] {3, 9, 30, 100};
    new ViewRows(rows, cluster, BenchReport::document, 1, followers, quick ? 2 : 8, window)
        .measure();
    int[] workers = quick ? new int[] {0, 30} : new int[] {0, 30, 100, 300};
    new NodeRows(rows, cluster, window, quick ? 1_000 : 6_000).measure(workers);
    RouteRows route = new RouteRows(rows, cluster, children, quick ? 3 : 20);
    route.measure();
    route.failures().forEach(f -> notes.add("# route: " + f));
    for (int entries : quick ? new int[0] : new int[] {9, 30}) {
      cluster.grow(entries);
      cluster.awaitReady();
      Thread.sleep(WARM_UP_MILLIS);
      new NodeRows(rows, cluster, window, quick ? 1_000 : 6_000).measure(0, 100);
    }
  }

  private static String document(long version) {
    return String.join(
        "\n",
        "version = " + version,
        "[[service]]",
        "name = \"orders\"",
        "max_concurrency = 5000",
        "cold_ceiling = 1000",
        "warm_seconds = 1",
        "idempotent = [\"GET /orders/*\"]",
        "[[workspace]]",
        "name = \"surabaya\"",
        "max_queued = 5000",
        "");
  }

  private static double loadAverage() throws IOException {
    return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ")[0]);
  }

  private static void delete(Path folder) throws IOException {
    try (var files = Files.walk(folder)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(p);
      }
    }
  }

  private record Benchmark(String name, List<String> args, BiConsumer<List<String>, Rows> parser) {}

  /** A step of the run, which may fail independently of the others. */
  private interface Step {
    void run() throws Exception;
  }
}
