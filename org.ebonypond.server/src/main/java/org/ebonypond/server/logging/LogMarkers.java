package org.ebonypond.server.logging;

import org.slf4j.Marker;
import org.slf4j.MarkerFactory;

/** Markers that tell the appender how a log line is to be treated. */
public final class LogMarkers {
  /**
   * Marks a line on what this process takes for true from now on, such as the configuration in
   * force. Lines of requests are read against it, so it has a share of the limits of its own. Not
   * for lines that are logged for each request or instance.
   */
  public static final Marker STATE = MarkerFactory.getMarker("state");

  private LogMarkers() {}
}
