package org.ebonypond.document;

/**
 * The limits that apply to all workspaces.
 *
 * @param defaultDeadlineMillis the deadline, in milliseconds, of a request that does not state one
 * @param retryBudgetPercent the maximum number of retries as a percentage of first attempts
 */
public record LimitsSpec(int defaultDeadlineMillis, int retryBudgetPercent) {
  /** The limits of a document without a {@code [limits]} table. */
  public static final LimitsSpec DEFAULT = new LimitsSpec(30_000, 10);
}
