package org.ebonypond.document;

/**
 * Limits over all workspaces.
 *
 * @param defaultDeadlineMillis the deadline in milliseconds of a request that names none
 * @param retryBudgetPercent the most retries as a percentage of first attempts
 */
public record LimitsSpec(int defaultDeadlineMillis, int retryBudgetPercent) {
  /** The limits of a document without a {@code [limits]} table. */
  public static final LimitsSpec DEFAULT = new LimitsSpec(30_000, 10);
}
