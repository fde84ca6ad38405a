package org.ebonypond.server.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.ebonypond.ledger.AttemptId;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;

/**
 * The incarnation number under which this process runs calls. The ledger fences incarnations below
 * the highest one that it has seen. That happens to a live process after its clock stepped back, or
 * after it was silent for so long that it was declared lost. It then continues under a higher
 * incarnation. Thread-safe.
 */
public final class EntryIncarnation {
  /** The timeout of a proposal to a shard, in milliseconds; it is then announced again. */
  private static final long ANNOUNCE_TIMEOUT_MILLIS = 10_000;

  private final String entry;
  private final LongSupplier wallMillis;
  private final LedgerClient ledger;
  private final AtomicLong current;
  private final AtomicLong attempts = new AtomicLong();

  /**
   * Creates the incarnation of this process; {@link #announce} tells the ledger.
   *
   * @param entry the name of this process
   * @param first the first incarnation number
   * @param wallMillis supplies wall time in milliseconds since the epoch
   * @param ledger the client of the request ledger
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

  /** Returns a new attempt identifier. */
  public AttemptId nextAttempt() {
    return new AttemptId(entry, current.get(), attempts.incrementAndGet());
  }

  /** Tells every shard that older incarnations have ended; repeats it until each shard replies. */
  public void announce() {
    long incarnation = current.get();
    LedgerCommand c = new LedgerCommand.EntryRestarted(entry, incarnation, wallMillis.getAsLong());
    for (CompletableFuture<LedgerResult> f : ledger.proposeToAll(c, ANNOUNCE_TIMEOUT_MILLIS)) {
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
   * Moves to an incarnation above the given one and announces it, unless the current one is higher
   * already.
   *
   * @param known the highest incarnation of this process that the ledger has seen
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
