package org.ebonypond.bench.load;

/** The result of a call, as its caller sees it. */
enum Verdict {
  /** The correct and complete answer arrived before the deadline. */
  CORRECT,
  /**
   * An answer arrived that is not JSON, or a successful one that is incomplete or belongs to
   * another request.
   */
  WRONG,
  /** An error whose outcome says that the call was not run. */
  NOT_RUN,
  /** An error whose outcome says that it is unknown whether the call ran. */
  UNKNOWN,
  /** An error with any other outcome: the call ran and failed. */
  FAILED,
  /** No answer: the connection was lost or no entry was reachable. */
  LOST,
  /** The correct answer arrived after the deadline. */
  LATE
}
