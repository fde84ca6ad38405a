package org.ebonypond.server.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a thread of its own. A reader that stalls, or more lines in a second than the
 * budget allows, costs lines and never time of the caller; the number of lines that were dropped is
 * written once there is room. Warnings and errors are outside of the budget.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  private static final long BATCH_MILLIS = 100;
  private static final int BATCH_BYTES = 32 << 10;

  private final Encoder<ILoggingEvent> encoder;
  private final OutputStream out;
  private final int linesPerSecond;
  private final ArrayBlockingQueue<ILoggingEvent> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong second = new AtomicLong();
  private final AtomicLong lines = new AtomicLong();

  /**
   * Creates an appender.
   *
   * @param encoder writes one line for each event
   * @param out receives the lines
   * @param linesPerSecond the lines below the level of a warning that are written in a second
   * @param queued the lines that may wait for the reader
   */
  public BoundedAppender(
      Encoder<ILoggingEvent> encoder, OutputStream out, int linesPerSecond, int queued) {
    this.encoder = encoder;
    this.out = out;
    this.linesPerSecond = linesPerSecond;
    this.queue = new ArrayBlockingQueue<>(queued);
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
    return dropped.get();
  }

  @Override
  protected void append(ILoggingEvent e) {
    if (!e.getLevel().isGreaterOrEqual(Level.WARN) && !takeLine()) {
      dropped.incrementAndGet();
      return;
    }
    e.prepareForDeferredProcessing();
    if (!queue.offer(e)) {
      dropped.incrementAndGet();
    }
  }

  private boolean takeLine() {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (second.getAndSet(now) != now) {
      lines.set(0);
    }
    return lines.incrementAndGet() <= linesPerSecond;
  }

  private void run() {
    try {
      while (true) {
        writeBatch(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // Nobody reads the log any more; the process goes on without it.
      addError("the log cannot be written", e);
    }
  }

  private void writeBatch(ILoggingEvent first) throws IOException, InterruptedException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    ILoggingEvent e = first;
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BATCH_MILLIS);
    while (e != null) {
      b.writeBytes(encoder.encode(e));
      long left = until - System.nanoTime();
      e = b.size() >= BATCH_BYTES ? null : queue.poll(Math.max(0, left), TimeUnit.NANOSECONDS);
    }
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      b.writeBytes(("{\"message\":\"log lines dropped\",\"count\":" + lost + "}\n").getBytes());
    }
    out.write(b.toByteArray());
    out.flush();
  }
}
