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
 * Writes log lines on a thread of its own and never blocks the caller. Lines are dropped if the
 * reader stalls or if more lines are logged in a second than the rate limit allows; the number of
 * dropped lines is logged as soon as there is room. Warnings and errors are exempt from the limit.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  private static final long BATCH_MILLIS = 100;
  private static final int BATCH_BYTES = 32 << 10;

  private final Encoder<ILoggingEvent> encoder;
  private final OutputStream out;
  private final int linesPerSecond;
  private final ArrayBlockingQueue<ILoggingEvent> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong currentSecond = new AtomicLong();
  private final AtomicLong linesInSecond = new AtomicLong();

  /**
   * Creates an appender.
   *
   * @param encoder encodes each event as one line
   * @param out receives the lines
   * @param linesPerSecond the maximum number of lines below WARN per second
   * @param queueCapacity the number of lines that may wait to be written
   */
  public BoundedAppender(
      Encoder<ILoggingEvent> encoder, OutputStream out, int linesPerSecond, int queueCapacity) {
    this.encoder = encoder;
    this.out = out;
    this.linesPerSecond = linesPerSecond;
    this.queue = new ArrayBlockingQueue<>(queueCapacity);
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
    if (!e.getLevel().isGreaterOrEqual(Level.WARN) && !isWithinRate()) {
      dropped.incrementAndGet();
      return;
    }
    e.prepareForDeferredProcessing();
    if (!queue.offer(e)) {
      dropped.incrementAndGet();
    }
  }

  private boolean isWithinRate() {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (currentSecond.getAndSet(now) != now) {
      linesInSecond.set(0);
    }
    return linesInSecond.incrementAndGet() <= linesPerSecond;
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
      b.writeBytes(encoder.encode(e));
      long remaining = deadline - System.nanoTime();
      e = b.size() >= BATCH_BYTES ? null : queue.poll(Math.max(0, remaining), TimeUnit.NANOSECONDS);
    }
    long unreported = dropped.getAndSet(0);
    if (unreported > 0) {
      b.writeBytes(
          ("{\"message\":\"log lines dropped\",\"count\":" + unreported + "}\n").getBytes());
    }
    out.write(b.toByteArray());
    out.flush();
  }
}
