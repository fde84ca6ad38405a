package org.ebonypond.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ebonypond.serving.Departure;
import org.ebonypond.serving.ServingCommand;

/**
 * Records in the log which instances leave. Departures that arrive while an earlier command is on
 * its way share the next one, since many instances may leave at once. Thread-safe.
 */
final class DepartureLog {
  private final Function<ServingCommand, CompletableFuture<?>> commit;
  private final Supplier<List<Departure>> committed;
  private List<Departure> batch = new ArrayList<>();
  private CompletableFuture<Void> batchDone = new CompletableFuture<>();
  private boolean inFlight;

  /**
   * Creates a log.
   *
   * @param commit commits a command
   * @param committed returns the departures that were committed and applied
   */
  DepartureLog(
      Function<ServingCommand, CompletableFuture<?>> commit, Supplier<List<Departure>> committed) {
    this.commit = commit;
    this.committed = committed;
  }

  /**
   * Records a departure.
   *
   * @return completes when it is committed, now or before; fails if it is not known to be
   */
  CompletableFuture<Void> record(Departure d) {
    if (isCommitted(d)) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> done;
    synchronized (this) {
      batch.add(d);
      done = batchDone;
    }
    sendNext();
    return done;
  }

  /** Returns whether the log has a departure; later heartbeats repeat the first announcement. */
  private boolean isCommitted(Departure d) {
    for (Departure known : committed.get()) {
      if (known.id().equals(d.id())) {
        return known.startMillis() > d.startMillis()
            || known.startMillis() == d.startMillis()
                && (known.isDeregistered() || !d.isDeregistered());
      }
    }
    return false;
  }

  private void sendNext() {
    List<Departure> next;
    CompletableFuture<Void> done;
    synchronized (this) {
      if (inFlight || batch.isEmpty()) {
        return;
      }
      inFlight = true;
      next = batch;
      done = batchDone;
      batch = new ArrayList<>();
      batchDone = new CompletableFuture<>();
    }
    commit
        .apply(new ServingCommand.Depart(next))
        .whenComplete(
            (r, failure) -> {
              synchronized (this) {
                inFlight = false;
              }
              if (failure == null) {
                done.complete(null);
              } else {
                done.completeExceptionally(failure);
              }
              sendNext();
            });
  }
}
