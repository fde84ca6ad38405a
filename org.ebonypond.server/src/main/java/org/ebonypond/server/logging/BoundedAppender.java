package org.ebonypond.server.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Writes log lines on a thread of its own and never blocks the caller. Lines are dropped if the
 * reader stalls or if more lines are logged in a second than the rate limit allows; the number of
 * dropped lines of each kind is logged as soon as there is room. Warnings and errors are exempt
 * from the rate limit. Lines marked as {@linkplain LogMarkers#STATE state} have a share of both
 * limits that no other line takes.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  private static final long BATCH_MILLIS = 100;

  /** POSIX writes at least as many bytes to a pipe at once; a longer write may arrive in parts. */
  private static final int WRITE_BYTES = 4096;

  private final Encoder<ILoggingEvent> encoder;
  private final OutputStream out;
  private final LogLimits limits;
  private final LineBudget budget;
  private final LineBudget stateBudget;
  private final ArrayBlockingQueue<ILoggingEvent> queue;
  private final AtomicLongArray dropped = new AtomicLongArray(LineKind.values().length);

  /**
   * Creates an appender.
   *
   * @param encoder encodes each event as one line
   * @param out receives the lines
   */
  public BoundedAppender(Encoder<ILoggingEvent> encoder, OutputStream out, LogLimits limits) {
    this.encoder = encoder;
    this.out = out;
    this.limits = limits;
    this.budget = new LineBudget(limits.linesPerSecond());
    this.stateBudget = new LineBudget(limits.stateLinesPerSecond());
    this.queue = new ArrayBlockingQueue<>(limits.queuedLines() + limits.queuedStateLines());
  }

  @Override
  public void start() {
    super.start();
    Thread t = new Thread(this::run, "log-writer");
    t.setDaemon(true);
    t.start();
  }

  /** Returns the number of lines dropped since the last report. */
  public long dropped() {
    long sum = 0;
    for (LineKind k : LineKind.values()) {
      sum += dropped.get(k.ordinal());
    }
    return sum;
  }

  @Override
  protected void append(ILoggingEvent e) {
    LineKind k = LineKind.of(e);
    if (!isWithinRate(k) || !hasRoom(k)) {
      dropped.incrementAndGet(k.ordinal());
      return;
    }
    e.prepareForDeferredProcessing();
    if (!queue.offer(e)) {
      dropped.incrementAndGet(k.ordinal());
    }
  }

  private boolean isWithinRate(LineKind k) {
    if (k == LineKind.WARNING) {
      return true;
    }
    long now = System.nanoTime();
    return budget.take(now) || (k == LineKind.STATE && stateBudget.take(now));
  }

  /** Threads that log at the same time may take a few of the places that are left free here. */
  private boolean hasRoom(LineKind k) {
    return k == LineKind.STATE || queue.remainingCapacity() > limits.queuedStateLines();
  }

  private void run() {
    try {
      while (true) {
        writeBatch(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The log has no reader any more; the process continues without a log.
      addError("the log cannot be written", e);
    }
  }

  private void writeBatch(ILoggingEvent first) throws IOException, InterruptedException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    ILoggingEvent e = first;
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BATCH_MILLIS);
    while (e != null) {
      add(b, encoder.encode(e));
      // A machine that loses power after an acknowledgement must not lose the line on it.
      long remaining = LineKind.of(e) == LineKind.STATE ? 0 : deadline - System.nanoTime();
      e = remaining > 0 ? queue.poll(remaining, TimeUnit.NANOSECONDS) : null;
    }
    add(b, reportOfDropped().getBytes(StandardCharsets.UTF_8));
    flush(b);
  }

  /** Adds a line, after the lines before it were written if it would exceed one write. */
  private void add(ByteArrayOutputStream b, byte[] line) throws IOException {
    if (b.size() + line.length > WRITE_BYTES) {
      flush(b);
    }
    b.writeBytes(line);
  }

  private void flush(ByteArrayOutputStream b) throws IOException {
    if (b.size() > 0) {
      out.write(b.toByteArray());
      out.flush();
      b.reset();
    }
  }

  /** Returns the line on what was dropped since the last such line; empty if nothing was. */
  private String reportOfDropped() {
    long sum = 0;
    StringBuilder byKind = new StringBuilder();
    for (LineKind k : LineKind.values()) {
      long n = dropped.getAndSet(k.ordinal(), 0);
      sum += n;
      byKind.append(",\"").append(k.label()).append("\":").append(n);
    }
    return sum == 0 ? "" : "{\"message\":\"log lines dropped\",\"count\":" + sum + byKind + "}\n";
  }
}
