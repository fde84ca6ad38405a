package org.ebonypond.admission;

/** How a call may be repeated. */
public enum CallKind {
  /** A plain call that the document declares idempotent. */
  IDEMPOTENT,
  /** A model request; its stream resumes elsewhere from its offset. */
  MODEL_STREAM,
  /** A non-idempotent call with an idempotency key. */
  NON_IDEMPOTENT,
  /** A non-idempotent call without a key, which runs once and is never retried. */
  NON_IDEMPOTENT_WITHOUT_KEY
}
