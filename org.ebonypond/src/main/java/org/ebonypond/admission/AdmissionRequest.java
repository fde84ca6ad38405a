package org.ebonypond.admission;

/**
 * The properties of a request that admission uses.
 *
 * @param id the request identity, unique at the entry
 * @param pool the model or the service; each pool has its own queue
 * @param workspace the caller's workspace
 * @param priority 0 to 9; higher values are more urgent
 * @param tokens the expected tokens of prompt and answer, or 1 for a plain call
 * @param deadlineMillis the time by which the answer must be complete, in milliseconds of the
 *     entry's clock
 */
public record AdmissionRequest(
    String id, String pool, String workspace, int priority, long tokens, long deadlineMillis) {
  /** The highest priority. */
  public static final int MAX_PRIORITY = 9;

  /** Clamps the priority and the tokens to their valid ranges. */
  public AdmissionRequest {
    priority = Math.max(0, Math.min(MAX_PRIORITY, priority));
    tokens = Math.max(1, tokens);
  }
}
