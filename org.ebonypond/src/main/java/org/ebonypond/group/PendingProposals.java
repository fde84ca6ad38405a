package org.ebonypond.group;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonypond.control.ControlCommand;

/**
 * The proposals whose result is not yet known. A proposal without a result expires after a timeout;
 * proposing it again is safe, because each command names the epoch, the boot or the group name on
 * which it was based.
 */
final class PendingProposals {
  private final long timeoutMillis;
  private final Map<ControlCommand, Long> proposedAt = new LinkedHashMap<>();

  PendingProposals(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /** Records a proposal; returns false if the same one is pending. */
  boolean add(ControlCommand c, long now) {
    return proposedAt.putIfAbsent(c, now) == null;
  }

  void resolved(ControlCommand c) {
    proposedAt.remove(c);
  }

  void expire(long now) {
    proposedAt.values().removeIf(t -> now - t >= timeoutMillis);
  }

  Collection<ControlCommand> commands() {
    return proposedAt.keySet();
  }

  void clear() {
    proposedAt.clear();
  }
}
