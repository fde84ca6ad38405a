package org.ebonypond.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the ledger holds for one key. Encoded as an array, because snapshots hold many.
 *
 * @param digest the digest of the call
 * @param phase the phase
 * @param owner the attempt that owns the run, or that released it last
 * @param created the ledger's time of the first command for the key
 * @param answer the answer if the phase is {@code DONE}
 * @param givenUp attempts that gave up before they dispatched, oldest first
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
   * The most attempts that are remembered as given up for one key. An intent of a forgotten one
   * that commits late makes later attempts wait in vain, but its own call is over and never
   * dispatches.
   */
  private static final int MAX_GIVEN_UP = 16;

  /**
   * Bytes of a record on the heap beside the answer's own; {@code LedgerBench} measures 510 with a
   * key of 36 characters and one header.
   */
  private static final long FIXED_BYTES = 520;

  /** The phases of a key. */
  enum Phase {
    RUNNING,
    UNKNOWN,
    DONE,
    RELEASED
  }

  LedgerRecord {
    givenUp = List.copyOf(givenUp);
  }

  LedgerRecord with(Phase next) {
    return new LedgerRecord(digest, next, owner, created, answer, givenUp);
  }

  LedgerRecord done(StoredAnswer value) {
    return new LedgerRecord(digest, Phase.DONE, owner, created, value, givenUp);
  }

  LedgerRecord runBy(AttemptId attempt) {
    return new LedgerRecord(digest, Phase.RUNNING, attempt, created, null, givenUp);
  }

  LedgerRecord createdBy(long latest) {
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

  /** Returns an estimate of the memory that the record takes, in bytes. */
  long bytes() {
    return FIXED_BYTES + (answer == null ? 0 : answer.size());
  }
}
