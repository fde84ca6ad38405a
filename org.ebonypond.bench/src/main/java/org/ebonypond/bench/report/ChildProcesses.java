package org.ebonypond.bench.report;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The Java processes that a measurement starts with its own class path. They are stopped by {@link
 * #close} and by a shutdown hook. Thread-safe.
 */
final class ChildProcesses implements AutoCloseable {
  private static final long STOP_SECONDS = 15;

  private final Path logs;
  private final Deque<Process> running = new ArrayDeque<>();
  private boolean closed;

  /**
   * Creates an empty set.
   *
   * @param logs the folder for the output of the processes
   */
  ChildProcesses(Path logs) {
    this.logs = logs;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close, "stop-children"));
  }

  /** Starts a main class; its output is written to the files NAME.out and NAME.err. */
  synchronized Process start(
      String name, List<String> options, String mainClass, List<String> arguments)
      throws IOException {
    if (closed) {
      throw new IllegalStateException("closed");
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.add(mainClass);
    command.addAll(arguments);
    ProcessBuilder b = new ProcessBuilder(command);
    b.environment().put("CLASSPATH", System.getProperty("java.class.path"));
    b.redirectOutput(file(name, "out"));
    b.redirectError(file(name, "err"));
    Process p = b.start();
    running.add(p);
    return p;
  }

  /** Returns the lines that a process has printed so far. */
  List<String> output(String name) throws IOException {
    return Files.readAllLines(file(name, "out").toPath());
  }

  private File file(String name, String suffix) {
    return logs.resolve(name + "." + suffix).toFile();
  }

  /** Stops every process with SIGTERM, and with SIGKILL if it still runs after 15 s. */
  @Override
  public synchronized void close() {
    closed = true;
    running.forEach(Process::destroy);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
    while (!running.isEmpty()) {
      Process p = running.peek();
      try {
        if (!p.waitFor(Math.max(1, end - System.nanoTime()), TimeUnit.NANOSECONDS)) {
          p.destroyForcibly();
        }
      } catch (InterruptedException e) {
        p.destroyForcibly();
        Thread.currentThread().interrupt();
      }
      running.remove();
    }
  }
}
