package org.ebonypond.errors;

/** Whether a request was run, as stated in a final error answer. */
public enum Outcome {
  /** The request was not run. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** The request ran and failed, or is safe to retry. */
  FAILED("failed");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the value of {@code outcome} in a problem body. */
  public String wireName() {
    return wireName;
  }
}
