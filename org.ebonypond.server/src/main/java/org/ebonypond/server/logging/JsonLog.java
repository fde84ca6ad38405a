package org.ebonypond.server.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;

/** Configures logging of JSON lines to standard output. */
public final class JsonLog {
  /** About six lines per request of an entry at three times its usual load. */
  private static final int LINES_PER_SECOND = 400;

  private static final int QUEUED_LINES = 2_000;

  private JsonLog() {}

  /** Configures a logger context that has no appenders yet. */
  public static void configure(LoggerContext c) {
    JsonEncoder e = new JsonEncoder();
    e.setContext(c);
    e.setWithContext(false);
    e.setWithMDC(false);
    e.setWithSequenceNumber(false);
    e.setWithNanoseconds(false);
    e.setWithThreadName(false);
    e.setWithArguments(false);
    e.setWithMarkers(false);
    e.start();
    BoundedAppender a = new BoundedAppender(e, System.out, LINES_PER_SECOND, QUEUED_LINES);
    a.setContext(c);
    a.start();
    Logger root = c.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(a);
    c.getLogger("io.netty").setLevel(Level.WARN);
  }
}
