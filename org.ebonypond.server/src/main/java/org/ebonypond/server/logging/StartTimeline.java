package org.ebonypond.server.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Measures the steps of a process start. After a loss of power all callers wait for these steps, so
 * each start logs them. Not thread-safe.
 */
public final class StartTimeline {
  private final LongSupplier nanoTime;
  private final Map<String, Long> millisByStep = new LinkedHashMap<>();
  private long lastNanos;

  /**
   * Starts measuring the first step.
   *
   * @param nanoTime a steady clock in nanoseconds
   */
  public StartTimeline(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.lastNanos = nanoTime.getAsLong();
  }

  /** Records that a step ends and the next one begins. */
  public void completed(String step) {
    long now = nanoTime.getAsLong();
    millisByStep.merge(step, TimeUnit.NANOSECONDS.toMillis(now - lastNanos), Long::sum);
    lastNanos = now;
  }

  /** Logs one line with the duration of each step in milliseconds, in order. */
  public void log(Logger logger) {
    LoggingEventBuilder line = logger.atInfo();
    millisByStep.forEach((step, millis) -> line.addKeyValue(step + "_ms", millis));
    line.log("start timeline");
  }
}
