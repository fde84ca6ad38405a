package org.ebonypond.server.logging;

import org.ebonypond.time.SuspensionDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each suspension of this process. */
public final class SuspensionLog implements SuspensionDetector.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(SuspensionLog.class);

  @Override
  public void resumed(long suspendedMillis) {
    LOG.atInfo()
        .addMarker(LogMarkers.STATE)
        .addKeyValue("suspended_ms", suspendedMillis)
        .log("process was suspended");
  }
}
