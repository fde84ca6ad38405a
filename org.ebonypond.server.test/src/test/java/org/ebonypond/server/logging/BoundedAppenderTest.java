package org.ebonypond.server.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.encoder.EncoderBase;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BoundedAppenderTest {
  private static final int QUEUE_CAPACITY = 50;

  private final LoggerContext context = new LoggerContext();

  private static final class PlainEncoder extends EncoderBase<ILoggingEvent> {
    @Override
    public byte[] headerBytes() {
      return new byte[0];
    }

    @Override
    public byte[] encode(ILoggingEvent e) {
      return (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] footerBytes() {
      return new byte[0];
    }
  }

  private BoundedAppender appender(OutputStream out, int linesPerSecond) {
    context.setMDCAdapter(new LogbackMDCAdapter());
    BoundedAppender a =
        new BoundedAppender(new PlainEncoder(), out, linesPerSecond, QUEUE_CAPACITY);
    a.setContext(context);
    a.start();
    return a;
  }

  private void log(BoundedAppender a, Level level, String message) {
    a.doAppend(
        new LoggingEvent("x", context.getLogger("test"), level, message, null, new Object[0]));
  }

  /** Guards against callers that are blocked by a stalled reader of the log. */
  @Test
  void stalledReaderDropsLinesWithoutBlocking() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch stalled = new CountDownLatch(1);
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    OutputStream out =
        new OutputStream() {
          @Override
          public void write(int b) {
            throw new IllegalStateException("lines are written one byte at a time");
          }

          @Override
          public void write(byte[] b, int off, int len) {
            stalled.countDown();
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.write(b, off, len);
          }
        };
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    log(a, Level.INFO, "first");
    assertTrue(stalled.await(10, TimeUnit.SECONDS));
    for (int i = 0; i < 10 * QUEUE_CAPACITY; i++) {
      log(a, Level.INFO, "line " + i);
    }
    assertEquals(9 * QUEUE_CAPACITY, a.dropped());
    release.countDown();
    while (!written.toString(StandardCharsets.UTF_8).contains("log lines dropped")) {
      Thread.onSpinWait();
    }
  }

  /** Guards against a burst of lines that exceeds the rate limit, and against dropped warnings. */
  @Test
  void linesBeyondTheRateLimitAreDroppedButWarningsAreNot() {
    BoundedAppender a = appender(OutputStream.nullOutputStream(), 0);
    for (int i = 0; i < 10; i++) {
      log(a, Level.INFO, "line " + i);
    }
    assertEquals(10, a.dropped());
    log(a, Level.WARN, "warning");
    // The writer thread reports the number with the line and resets it, but never raises it.
    assertTrue(a.dropped() <= 10);
  }
}
