package org.ebonypond.server.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class BoundedAppenderTest {
  private static final int QUEUE_CAPACITY = 50;
  private static final int STATE_LINES_PER_SECOND = 5;
  private static final int QUEUED_STATE_LINES = 10;

  /** POSIX writes as many bytes to a pipe at once, or none of them. */
  private static final int PIPE_BUFFER_BYTES = 4096;

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
    LogLimits limits =
        new LogLimits(linesPerSecond, STATE_LINES_PER_SECOND, QUEUE_CAPACITY, QUEUED_STATE_LINES);
    BoundedAppender a = new BoundedAppender(new PlainEncoder(), out, limits);
    a.setContext(context);
    a.start();
    return a;
  }

  private void log(BoundedAppender a, Level level, String message) {
    a.doAppend(event(level, message));
  }

  private void logState(BoundedAppender a, String message) {
    LoggingEvent e = event(Level.INFO, message);
    e.addMarker(LogMarkers.STATE);
    a.doAppend(e);
  }

  private LoggingEvent event(Level level, String message) {
    return new LoggingEvent("x", context.getLogger("test"), level, message, null, new Object[0]);
  }

  private static void awaitLine(ByteArrayOutputStream written, String part) {
    while (!written.toString(StandardCharsets.UTF_8).contains(part)) {
      Thread.onSpinWait();
    }
  }

  /** Holds each write back until it is released. */
  private static final class StalledStream extends OutputStream {
    final CountDownLatch stalled = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);
    final ByteArrayOutputStream written = new ByteArrayOutputStream();
    final List<String> writes = new CopyOnWriteArrayList<>();

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
      writes.add(new String(b, off, len, StandardCharsets.UTF_8));
      written.write(b, off, len);
    }
  }

  /** Guards against callers that are blocked by a stalled reader of the log. */
  @Test
  void stalledReaderDropsLinesWithoutBlocking() throws Exception {
    StalledStream out = new StalledStream();
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    log(a, Level.INFO, "first");
    assertTrue(out.stalled.await(10, TimeUnit.SECONDS));
    for (int i = 0; i < 10 * QUEUE_CAPACITY; i++) {
      log(a, Level.INFO, "line " + i);
    }
    assertEquals(9 * QUEUE_CAPACITY, a.dropped());
    out.release.countDown();
    awaitLine(out.written, "log lines dropped");
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

  /** Guards against a version in force that no line names, because lines of requests came first. */
  @Test
  @Timeout(10)
  void stateLinesAreWrittenBeyondTheRateOfOtherLines() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    BoundedAppender a = appender(written, 0);
    log(a, Level.INFO, "request sent");
    logState(a, "configuration in force");
    log(a, Level.WARN, "warning");
    awaitLine(written, "warning");
    String lines = written.toString(StandardCharsets.UTF_8);
    assertTrue(lines.contains("configuration in force"), lines);
    assertFalse(lines.contains("request sent"), lines);
  }

  /** Guards against a version in force that no line names, because the reader had stalled. */
  @Test
  @Timeout(10)
  void stateLinesWaitBeyondTheQueueOfOtherLines() throws Exception {
    StalledStream out = new StalledStream();
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    log(a, Level.INFO, "first");
    assertTrue(out.stalled.await(5, TimeUnit.SECONDS));
    for (int i = 0; i < 2 * QUEUE_CAPACITY; i++) {
      log(a, Level.WARN, "warning " + i);
    }
    logState(a, "configuration in force");
    out.release.countDown();
    awaitLine(out.written, "log lines dropped");
    String lines = out.written.toString(StandardCharsets.UTF_8);
    assertTrue(lines.contains("configuration in force"), lines);
  }

  /** Guards against a log without bounds where every line is marked as state. */
  @Test
  @Timeout(10)
  void stateLinesAreBoundedAndCountedApart() throws Exception {
    StalledStream out = new StalledStream();
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    log(a, Level.INFO, "first");
    assertTrue(out.stalled.await(5, TimeUnit.SECONDS));
    for (int i = 0; i < QUEUE_CAPACITY + QUEUED_STATE_LINES + 7; i++) {
      logState(a, "state " + i);
    }
    log(a, Level.WARN, "warning");
    out.release.countDown();
    awaitLine(out.written, "log lines dropped");
    String lines = out.written.toString(StandardCharsets.UTF_8);
    assertTrue(lines.contains("\"count\":8,\"state\":7,\"warning\":1,\"other\":0"), lines);
  }

  /**
   * Guards against lines of a burst that are lost where the reader keeps a part of a long write.
   */
  @Test
  @Timeout(10)
  void burstIsWrittenAsWholeLinesInShortWrites() {
    StalledStream out = new StalledStream();
    out.release.countDown();
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    for (int i = 0; i < QUEUE_CAPACITY - 1; i++) {
      log(a, Level.INFO, "instance changed " + "x".repeat(350));
    }
    log(a, Level.INFO, "last");
    awaitLine(out.written, "last");
    for (String w : out.writes) {
      assertTrue(w.length() <= PIPE_BUFFER_BYTES, "a write of " + w.length() + " bytes");
      assertTrue(w.endsWith("\n"), w);
    }
  }

  /**
   * Guards against an acknowledged change that no line names, because the machine then lost power.
   */
  @Test
  @Timeout(10)
  void stateLinesDoNotWaitForTheEndOfTheBatch() throws Exception {
    StalledStream out = new StalledStream();
    BoundedAppender a = appender(out, Integer.MAX_VALUE);
    log(a, Level.INFO, "first");
    assertTrue(out.stalled.await(5, TimeUnit.SECONDS));
    log(a, Level.INFO, "before");
    logState(a, "change answered");
    log(a, Level.INFO, "after");
    out.release.countDown();
    awaitLine(out.written, "after");
    assertEquals(List.of("first\n", "before\nchange answered\n", "after\n"), out.writes);
  }
}
