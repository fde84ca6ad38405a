package org.ebonypond.server.control;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ebonypond.trace.TraceHeader;
import org.ebonypond.trace.TraceRecord;
import org.ebonypond.trace.TraceWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a trace on its own thread, without blocking or failing the caller. If the file cannot be
 * written, has reached its maximum size, or cannot keep up with the records, recording stops
 * permanently and the reason is logged. A gap would make the rest of a trace useless.
 */
public final class TraceFile implements Consumer<TraceRecord>, AutoCloseable {
  /** Holds a few seconds of announcements of 10,000 instances. */
  static final int QUEUE_CAPACITY = 50_000;

  private static final Logger LOG = LoggerFactory.getLogger(TraceFile.class);
  private static final long POLL_MILLIS = 100;
  private static final long CLOSE_MILLIS = 2_000;

  private final LinkedBlockingQueue<TraceRecord> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
  private final String name;
  private final Opener opener;
  private final TraceHeader header;
  private final long maxCharacters;
  private final Thread thread;
  private final AtomicBoolean reported = new AtomicBoolean();
  private volatile boolean active = true;

  /** Opens the file; runs on the thread of the trace. */
  interface Opener {
    /** Returns the writer of an empty file. */
    Writer open() throws IOException;
  }

  TraceFile(String name, Opener opener, TraceHeader header, long maxCharacters) {
    this.name = name;
    this.opener = opener;
    this.header = header;
    this.maxCharacters = maxCharacters;
    this.thread = new Thread(this::run, "trace");
    thread.setDaemon(true);
  }

  /**
   * Starts a trace in a new file. If the file exists, it is not changed and nothing is recorded.
   *
   * @param path the file
   * @param header the first line
   * @param maxCharacters the number of characters after which recording stops
   */
  public static TraceFile start(Path path, TraceHeader header, long maxCharacters) {
    Opener opener =
        () ->
            Files.newBufferedWriter(
                path,
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
    TraceFile f = new TraceFile(path.toString(), opener, header, maxCharacters);
    f.start();
    return f;
  }

  void start() {
    thread.start();
  }

  /** Returns whether records are still accepted. */
  public boolean isActive() {
    return active;
  }

  @Override
  public void accept(TraceRecord r) {
    if (active && !queue.offer(r)) {
      stop("the file cannot keep up with the records");
    }
  }

  /** Writes the queued records and closes the file; waits for at most 2 s. */
  @Override
  public void close() {
    active = false;
    try {
      thread.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try (Writer out = opener.open();
        TraceWriter w = new TraceWriter(out, header)) {
      while (active || !queue.isEmpty()) {
        TraceRecord r = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (r != null) {
          w.write(r);
        }
        if (queue.isEmpty()) {
          w.flush();
        }
        if (w.written() >= maxCharacters) {
          stop("the file has reached trace_max_mb");
          break;
        }
      }
    } catch (IOException | RuntimeException e) {
      stop(e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      active = false;
      queue.clear();
    }
  }

  private void stop(String reason) {
    active = false;
    if (reported.getAndSet(true)) {
      return;
    }
    LOG.warn("stops recording the trace {}: {}", name, reason);
  }
}
