package org.ebonypond.server.http;

/** What a refusal or a failure says about the request. */
public enum Outcome {
  /** The request was not run; it may be sent again. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** The request ran and failed, or can never succeed as it is. */
  FAILED("failed");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the value of the {@code outcome} member of a problem body. */
  public String wireName() {
    return wireName;
  }
}
