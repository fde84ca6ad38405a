package org.ebonypond.server.http1;

import org.ebonypond.serving.ClientLimits;

/** Supplies the limits on callers. */
@FunctionalInterface
public interface LimitSource {
  /** Returns the limits in force. */
  ClientLimits limits();

  /**
   * Returns whether a request over the limits is refused for good. Otherwise the limits may have
   * been replaced, and the caller is told to come back.
   */
  default boolean areFinal() {
    return true;
  }
}
