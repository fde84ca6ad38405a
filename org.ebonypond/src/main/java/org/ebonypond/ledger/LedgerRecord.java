package org.ebonypond.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The record of one key. Encoded as an array, because snapshots contain many records.
 *
 * @param digest the digest of the call
 * @param phase what is known about the run of the call
 * @param owner the attempt that owns the run, or that released it last
 * @param created the ledger time of the first command for the key, in milliseconds since 1970
 * @param answer the answer if the phase is {@code DONE}
 * @param givenUp attempts that did not and will not run the call, oldest first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record LedgerRecord(
    String digest,
    Phase phase,
    AttemptId owner,
    long created,
    @Nullable StoredAnswer answer,
    List<AttemptId> givenUp) {
  /**
   * Maximum number of attempts that are stored as given up for one key. If an intent of an attempt
   * beyond these is committed late, later attempts wait for it until their deadlines; its own call
   * has ended and never dispatches.
   */
  private static final int MAX_GIVEN_UP = 16;

  /**
   * Heap size of a record without its answer, in bytes; {@code LedgerBench} measured 510 with a key
   * of 36 characters and one header.
   */
  private static final long FIXED_BYTES = 520;

  /** Phase of a key. */
  enum Phase {
    /** The owner may run the call. */
    RUNNING,

    /** The call may have run; its outcome is unknown. */
    UNKNOWN,

    /** The call completed and its answer is recorded. */
    DONE,

    /** No attempt so far ran or will run the call; a new attempt may. */
    RELEASED
  }

  LedgerRecord {
    givenUp = List.copyOf(givenUp);
  }

  LedgerRecord withPhase(Phase next) {
    return new LedgerRecord(digest, next, owner, created, answer, givenUp);
  }

  LedgerRecord done(StoredAnswer value) {
    return new LedgerRecord(digest, Phase.DONE, owner, created, value, givenUp);
  }

  LedgerRecord runningBy(AttemptId attempt) {
    return new LedgerRecord(digest, Phase.RUNNING, attempt, created, null, givenUp);
  }

  LedgerRecord withCreatedAtMost(long latest) {
    return created <= latest
        ? this
        : new LedgerRecord(digest, phase, owner, latest, answer, givenUp);
  }

  LedgerRecord giveUp(AttemptId attempt) {
    if (givenUp.contains(attempt)) {
      return this;
    }
    List<AttemptId> list = new ArrayList<>(givenUp);
    list.add(attempt);
    if (list.size() > MAX_GIVEN_UP) {
      list.remove(0);
    }
    return new LedgerRecord(digest, phase, owner, created, answer, list);
  }

  /** Returns the estimated memory use of the record, in bytes. */
  long bytes() {
    return FIXED_BYTES + (answer == null ? 0 : answer.size());
  }
}
