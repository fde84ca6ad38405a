package org.ebonypond.ledger;

/** The {@code outcome} of a problem body. */
public enum CallOutcome {
  /** This request did not and will not reach a backend server. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** The request cannot succeed, now or later. */
  FAILED("failed");

  private final String wireName;

  CallOutcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name in problem bodies, for example {@code not-run}. */
  public String wireName() {
    return wireName;
  }
}
