package org.ebonypond.server.forward;

import java.util.Set;
import org.ebonypond.quarantine.QuarantineListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs which requests and prompt parts an entry refuses. */
public final class QuarantineLog implements QuarantineListener {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantineLog.class);

  @Override
  public void blocked(Set<Long> parts, int crashes, long begun) {
    LOG.atWarn()
        .addKeyValue("parts", parts.stream().map(Long::toHexString).toList())
        .addKeyValue("crashes", crashes)
        .addKeyValue("begun", begun)
        .log("request or prompt parts quarantined");
  }

  @Override
  public void unblocked(Set<Long> parts) {
    LOG.atInfo()
        .addKeyValue("parts", parts.stream().map(Long::toHexString).toList())
        .log("request or prompt parts released");
  }
}
