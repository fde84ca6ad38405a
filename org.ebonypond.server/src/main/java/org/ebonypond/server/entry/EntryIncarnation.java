package org.ebonypond.server.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.ebonypond.ledger.AttemptId;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;

/**
 * The incarnation under which this process runs calls. The ledger refuses incarnations below one
 * that it has seen: after a clock that stepped back, or after this process was silent for so long
 * that it was taken for lost. The process then goes on under a higher one. Thread-safe.
 */
public final class EntryIncarnation {
  private static final long ANNOUNCE_MILLIS = 10_000;

  private final String entry;
  private final LongSupplier wallMillis;
  private final LedgerClient ledger;
  private final AtomicLong current;
  private final AtomicLong attempts = new AtomicLong();

  /**
   * Creates an incarnation.
   *
   * @param entry the name of this process
   * @param first the incarnation to start with
   * @param wallMillis supplies wall time in milliseconds since the epoch
   * @param ledger the request ledger
   */
  public EntryIncarnation(String entry, long first, LongSupplier wallMillis, LedgerClient ledger) {
    this.entry = entry;
    this.wallMillis = wallMillis;
    this.ledger = ledger;
    this.current = new AtomicLong(first);
  }

  /** Returns the current incarnation. */
  public long current() {
    return current.get();
  }

  /** Returns the identity of a new attempt. */
  public AttemptId nextAttempt() {
    return new AttemptId(entry, current.get(), attempts.incrementAndGet());
  }

  /** Tells every shard that older incarnations of this process are gone, until all have it. */
  public void announce() {
    long incarnation = current.get();
    LedgerCommand c = new LedgerCommand.EntryRestarted(entry, incarnation, wallMillis.getAsLong());
    for (CompletableFuture<LedgerResult> f : ledger.proposeToAll(c, ANNOUNCE_MILLIS)) {
      f.whenComplete(
          (r, failure) -> {
            if (r == null) {
              announceAgain(incarnation);
            } else if (r.kind() == LedgerResult.Kind.FENCED) {
              supersede(r.incarnation());
            }
          });
    }
  }

  /**
   * Takes the news that the ledger knows an incarnation of this process.
   *
   * @param known the highest incarnation that the ledger has seen
   */
  public void supersede(long known) {
    long before = current.getAndUpdate(c -> Math.max(c, known + 1));
    if (before <= known) {
      announce();
    }
  }

  private void announceAgain(long incarnation) {
    if (current.get() == incarnation) {
      announce();
    }
  }
}
