package org.ebonypond.server.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class StartTimelineTest {
  /** Guards against steps of a start that are missing from the log or counted twice. */
  @Test
  void logsTheDurationOfEachStepInOrder() {
    AtomicLong millis = new AtomicLong(1_000);
    StartTimeline t = new StartTimeline(() -> TimeUnit.MILLISECONDS.toNanos(millis.get()));
    millis.addAndGet(30);
    t.completed("settings");
    millis.addAndGet(5);
    t.completed("listen");
    millis.addAndGet(7);
    t.completed("settings");
    Logger logger = new LoggerContext().getLogger("test");
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);

    t.log(logger);

    List<String> fields =
        lines.list.get(0).getKeyValuePairs().stream().map(p -> p.key + "=" + p.value).toList();
    assertEquals(List.of("settings_ms=37", "listen_ms=5"), fields);
  }
}
