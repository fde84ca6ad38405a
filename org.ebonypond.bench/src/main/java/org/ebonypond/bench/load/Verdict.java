package org.ebonypond.bench.load;

/** What became of a request, as its caller sees it. */
enum Verdict {
  /** The whole and right answer came while the caller still waited. */
  CORRECT,
  /** The answer came, but it is not the answer to this request, or not whole. */
  WRONG,
  /** Refused, with the statement that it was not run. */
  NOT_RUN,
  /** Refused, with the statement that the outcome is unknown. */
  UNKNOWN,
  /** An error that says that it ran and failed. */
  FAILED,
  /** The connection was lost or no entry could be reached. */
  LOST,
  /** No answer before the deadline. */
  LATE
}
