package org.ebonypond.group;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the scheduler knows of one engine instance. At most one exchange is open at a time, so that
 * a state that was read reflects every earlier order.
 */
final class EngineTrack {
  /** The state read after the last order, or null if it is not known. */
  @Nullable EngineState state;

  /** The adapters of the last order that names a model. */
  List<String> adapters = List.of();

  /** The fencing number of that order, or 0; a state read with it shows that these are loaded. */
  long adaptersFencing;

  long stateAt;
  long openToken;
  boolean openIsOrder;
  long openSince;
  int failures;
  long notBefore;
  long idleSince = -1;

  boolean isOpen() {
    return openToken != 0;
  }

  void open(long token, boolean order, long now) {
    openToken = token;
    openIsOrder = order;
    openSince = now;
    if (order) {
      state = null;
    }
  }

  void close() {
    openToken = 0;
  }

  void failed(long now, SchedulerSettings s) {
    close();
    long delay = s.backoffMillis() << Math.min(failures, 10);
    failures++;
    notBefore = now + Math.min(delay, s.maxBackoffMillis());
  }

  void succeeded() {
    close();
    failures = 0;
  }
}
