package org.ebonypond.ledger;

import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;

/** Action that an entry carries out for an {@link AtMostOnceCall}, in the returned order. */
public sealed interface CallAction {
  /** Propose an intent; report the reply with {@link AtMostOnceCall#onIntentResult}. */
  record ProposeIntent(LedgerCommand.RecordIntent command) implements CallAction {}

  /** Propose an outcome, not-run or unknown record, for {@link AtMostOnceCall#onRecordResult}. */
  record ProposeRecord(LedgerCommand command) implements CallAction {}

  /**
   * Look the key up on any replica of its shard, without a log entry; report the reply with {@link
   * AtMostOnceCall#onPollResult}.
   *
   * @param workspace the caller's workspace
   * @param key the idempotency key
   */
  record PollLedger(String workspace, String key) implements CallAction {}

  /** Send the request to a backend server, once. */
  record Dispatch() implements CallAction {}

  /**
   * Send the caller the complete answer.
   *
   * @param answer the answer to send
   * @param replayed whether it comes from the ledger
   */
  record AnswerWhole(StoredAnswer answer, boolean replayed) implements CallAction {}

  /**
   * Tell the caller that the call completed and that its answer was too large to keep.
   *
   * @param status the HTTP status of the answer that was not kept
   */
  record AnswerNotKept(int status) implements CallAction {}

  /**
   * Send the caller a problem body.
   *
   * @param outcome the outcome to state in the body
   * @param code the error code to state in the body
   * @param retryAfterSeconds the value of {@code Retry-After}, in seconds
   */
  record AnswerProblem(Outcome outcome, ErrorCode code, int retryAfterSeconds)
      implements CallAction {}
}
