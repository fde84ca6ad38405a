package org.ebonypond.ledger;

import org.jspecify.annotations.Nullable;

/**
 * The result of a ledger command or lookup.
 *
 * @param kind what the ledger says
 * @param owner the attempt that owns the run, or null if there is none
 * @param answer the stored answer of {@link Kind#DONE}, otherwise null
 * @param incarnation the highest incarnation known of the sender, for {@link
 *     LedgerCommand.EntryRestarted}; otherwise 0
 */
public record LedgerResult(
    Kind kind, @Nullable AttemptId owner, @Nullable StoredAnswer answer, long incarnation) {
  /** What the ledger says about a key or a command. */
  public enum Kind {
    /** The attempt owns the run. */
    RUN,
    /** Another attempt owns the run; wait for its outcome. */
    JOIN,
    /** The call was done; the answer says whether its body was kept. */
    DONE,
    /** The call may have run; its outcome is not known. */
    UNKNOWN,
    /** The key was used with another method, path or body. */
    MISMATCH,
    /** No attempt owns the run, and this attempt may not take it: it gave up or is too old. */
    FENCED,
    /** The ledger is full of records that are younger than the retention; nothing was recorded. */
    FULL,
    /** The key carries a time that is older than the retention. */
    KEY_EXPIRED,
    /** The outcome, the release or the restart is recorded. */
    RECORDED,
    /** All attempts so far gave up before they dispatched the call. */
    RELEASED,
    /** The ledger holds no record of the key. */
    ABSENT,
    /** The command contradicts what the same attempt recorded before. */
    CONFLICT
  }

  /** Creates a result that is only a kind. */
  public static LedgerResult of(Kind kind) {
    return new LedgerResult(kind, null, null, 0);
  }
}
