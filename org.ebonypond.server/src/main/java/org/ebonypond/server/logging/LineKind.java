package org.ebonypond.server.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.List;
import org.slf4j.Marker;

/** The kinds of log lines that are limited and counted apart. */
enum LineKind {
  /** What the process takes for true from now on. */
  STATE("state"),
  /** Warnings and errors. */
  WARNING("warning"),
  /** All other lines, most of them on single requests. */
  OTHER("other");

  private final String label;

  LineKind(String label) {
    this.label = label;
  }

  /** Returns the name of the kind in the line on dropped lines. */
  String label() {
    return label;
  }

  static LineKind of(ILoggingEvent e) {
    if (e.getLevel().isGreaterOrEqual(Level.WARN)) {
      return WARNING;
    }
    List<Marker> markers = e.getMarkerList();
    return markers != null && markers.contains(LogMarkers.STATE) ? STATE : OTHER;
  }
}
