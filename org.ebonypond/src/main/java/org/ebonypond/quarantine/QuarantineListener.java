package org.ebonypond.quarantine;

import java.util.Set;

/** Receives the decisions of a {@link PartQuarantine}. */
public interface QuarantineListener {
  /**
   * Called when requests that have all of these parts are refused from now on.
   *
   * @param parts a request, or parts; several if no request has shown which of them is the cause
   * @param crashes the number of crashes with these parts
   * @param begun the number of answers that instances have begun to write on one of the parts
   */
  void blocked(Set<Long> parts, int crashes, long begun);

  /** Called when requests with these parts are accepted again. */
  void unblocked(Set<Long> parts);
}
