package org.ebonypond.errors;

/** What a final error answer states about the request. */
public enum Outcome {
  /** The request was not run. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** The request ran and failed, or may be repeated without harm. */
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
