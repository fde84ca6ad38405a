package org.ebonypond.server.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.core.spi.BasicSequenceNumberGenerator;

/** Configures logging of JSON lines to standard output. */
public final class JsonLog {
  /** About six lines per request of an entry at three times its usual load. */
  private static final int LINES_PER_SECOND = 400;

  /** The version applied and the answer to the operator for each of 25 changes per second. */
  private static final int STATE_LINES_PER_SECOND = 50;

  private static final int QUEUED_LINES = 2_000;

  /** The state lines of two seconds. */
  private static final int QUEUED_STATE_LINES = 100;

  private JsonLog() {}

  /** Configures a logger context that has no appenders yet. */
  public static void configure(LoggerContext c) {
    // Tells a line that was lost on the way to the reader from one that was never logged.
    c.setSequenceNumberGenerator(new BasicSequenceNumberGenerator());
    JsonEncoder e = new JsonEncoder();
    e.setContext(c);
    e.setWithContext(false);
    e.setWithMDC(false);
    e.setWithSequenceNumber(true);
    e.setWithNanoseconds(false);
    e.setWithThreadName(false);
    e.setWithArguments(false);
    e.setWithMarkers(false);
    e.start();
    LogLimits limits =
        new LogLimits(LINES_PER_SECOND, STATE_LINES_PER_SECOND, QUEUED_LINES, QUEUED_STATE_LINES);
    BoundedAppender a = new BoundedAppender(e, System.out, limits);
    a.setContext(c);
    a.start();
    Logger root = c.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(a);
    c.getLogger("io.netty").setLevel(Level.WARN);
  }
}
