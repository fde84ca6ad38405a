package org.ebonypond.errors;

import java.util.Locale;

/** The stable codes of the errors that are reported to callers and operators. */
public enum ErrorCode {
  DOCUMENT_SYNTAX,
  DOCUMENT_UNKNOWN_KEY,
  DOCUMENT_MISSING_KEY,
  DOCUMENT_BAD_VALUE,
  DOCUMENT_BAD_REFERENCE,
  SETTINGS_INVALID,
  VERSION_CONFLICT,
  UNKNOWN_ZONE,
  COMMAND_REJECTED,
  NOT_LEADER,
  NO_QUORUM,
  LOG_CORRUPT,
  STORAGE_FAILED,
  IDENTITY_MISMATCH,
  FRAME_INVALID,
  TRACE_INVALID,
  VIEW_STALE,
  UNKNOWN_MODEL,
  UNKNOWN_SERVICE,
  UNKNOWN_WORKSPACE,
  BAD_REQUEST,
  QUEUE_FULL,
  DEADLINE_TOO_CLOSE,
  NO_CAPACITY,
  RETRY_BUDGET_EXHAUSTED,
  KEY_REUSED,
  KEY_EXPIRED,
  LEDGER_FULL,
  ANSWER_NOT_KEPT,
  OUTCOME_UNKNOWN,
  ORDER_ABANDONED,
  UPSTREAM_FAILED,
  SHUTTING_DOWN,
  INVARIANT_VIOLATED;

  /** Returns the code as it appears in answers and logs, for example {@code version-conflict}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
