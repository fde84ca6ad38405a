package org.ebonypond.server.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.control.ControlView;
import org.ebonypond.server.replica.ReplicaService;
import org.jspecify.annotations.Nullable;

/**
 * A view of the leader and, for a trace, the log entries or snapshot that produced it.
 *
 * @param view the view
 * @param snapshot the snapshot of the same state, or null if the entries suffice
 * @param entries the log entries since the last recorded one; may extend beyond the view
 */
record LeaderView(ControlView view, byte @Nullable [] snapshot, List<LogEntry> entries) {
  private static final int MAX_ENTRIES = 1_000;

  /** Reads the view if this replica holds the leader's lease. */
  static CompletableFuture<LeaderView> read(ReplicaService replica) {
    return replica
        .control()
        .read(() -> new LeaderView(replica.controlState().view(), null, List.of()));
  }

  /**
   * Reads the view with the entries after an index, or with a snapshot if these entries do not
   * reach the view.
   *
   * @param after the index of the last recorded view, or -1 for a snapshot
   */
  static CompletableFuture<LeaderView> readTraced(ReplicaService replica, long after) {
    if (after < 0) {
      return replica
          .control()
          .read(
              () ->
                  new LeaderView(
                      replica.controlState().view(), replica.controlState().snapshot(), List.of()));
    }
    return read(replica)
        .thenCompose(
            v -> {
              if (v.view().index() <= after) {
                return CompletableFuture.completedFuture(v);
              }
              return replica
                  .control()
                  .entriesAfter(after, MAX_ENTRIES)
                  .thenCompose(
                      c ->
                          covers(c, v.view().index())
                              ? CompletableFuture.completedFuture(
                                  new LeaderView(v.view(), null, c.entries()))
                              : readTraced(replica, -1));
            });
  }

  private static boolean covers(CommittedEntries c, long index) {
    List<LogEntry> e = c.entries();
    return c.snapshot() == null && !e.isEmpty() && e.get(e.size() - 1).index() >= index;
  }
}
