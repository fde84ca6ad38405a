package org.ebonypond.server.logging;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class JsonLogTest {
  /**
   * Guards against lines that are missing unnoticed: whoever collects the log could not tell a line
   * that was lost on the way from one that was never logged.
   */
  @Test
  @Timeout(10)
  void linesAreNumberedInOrder() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    PrintStream before = System.out;
    LoggerContext c = new LoggerContext();
    c.setMDCAdapter(new LogbackMDCAdapter());
    System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
    try {
      JsonLog.configure(c);
    } finally {
      System.setOut(before);
    }
    c.getLogger("test").info("first");
    c.getLogger("test").info("second");
    while (!written.toString(StandardCharsets.UTF_8).contains("second")) {
      Thread.onSpinWait();
    }
    String[] lines = written.toString(StandardCharsets.UTF_8).split("\n");
    assertTrue(lines[0].contains("\"sequenceNumber\":1,"), lines[0]);
    assertTrue(lines[1].contains("\"sequenceNumber\":2,"), lines[1]);
  }
}
