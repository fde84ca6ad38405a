package org.ebonypond.ledger;

import org.jspecify.annotations.Nullable;

/**
 * The result of a ledger command or lookup.
 *
 * @param kind the kind of result
 * @param owner the attempt that owns the run, or null if there is none
 * @param answer the stored answer of {@link Kind#DONE}, otherwise null
 * @param incarnation the highest known incarnation of the sender, for a fenced {@link
 *     LedgerCommand.RecordIntent} and for {@link LedgerCommand.EntryRestarted}; otherwise 0
 */
public record LedgerResult(
    Kind kind, @Nullable AttemptId owner, @Nullable StoredAnswer answer, long incarnation) {
  /** Kind of result of a command or lookup. */
  public enum Kind {
    /** The attempt owns the run. */
    RUN,
    /** Another attempt owns the run; wait for its outcome. */
    JOIN,
    /** The call completed; the answer states whether its body was kept. */
    DONE,
    /** The call may have run; its outcome is unknown. */
    UNKNOWN,
    /** The key was used with another method, path or body. */
    MISMATCH,
    /** The attempt may not own the run: it gave up, is not the owner, or its incarnation is old. */
    FENCED,
    /** The ledger is full of records within the retention time; nothing was recorded. */
    FULL,
    /** The time in the key is older than the retention time. */
    KEY_EXPIRED,
    /** The outcome, not-run, unknown or restart record is stored. */
    RECORDED,
    /** No attempt so far ran or will run the call; a new attempt may. */
    RELEASED,
    /** The ledger contains no record of the key. */
    ABSENT,
    /** The command contradicts an earlier record of the same attempt. */
    CONFLICT
  }

  /** Creates a result without owner, answer and incarnation. */
  public static LedgerResult of(Kind kind) {
    return new LedgerResult(kind, null, null, 0);
  }
}
