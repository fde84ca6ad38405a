package org.ebonypond.group;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonypond.control.ControlCommand;

/**
 * The proposals whose result is not yet known. A proposal that stays without a result is forgotten
 * after a time; to propose it again is harmless, because each command names the epoch, the boot or
 * the group name on which it was based.
 */
final class PendingProposals {
  private final long timeoutMillis;
  private final Map<ControlCommand, Long> since = new LinkedHashMap<>();

  PendingProposals(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /** Records a proposal; returns false if the same one is pending. */
  boolean add(ControlCommand c, long now) {
    return since.putIfAbsent(c, now) == null;
  }

  void resolved(ControlCommand c) {
    since.remove(c);
  }

  void expire(long now) {
    since.values().removeIf(t -> now - t >= timeoutMillis);
  }

  Collection<ControlCommand> commands() {
    return since.keySet();
  }

  void clear() {
    since.clear();
  }
}
