package org.ebonypond.admission;

/** How a call may be retried. */
public enum RetryClass {
  /** A plain call that the document declares idempotent. */
  IDEMPOTENT,
  /** A model request, whose stream can resume on another group from its offset. */
  MODEL_STREAM,
  /** A non-idempotent call with an idempotency key. */
  NON_IDEMPOTENT,
  /** A non-idempotent call without a key, which runs once and is never retried. */
  NON_IDEMPOTENT_WITHOUT_KEY
}
