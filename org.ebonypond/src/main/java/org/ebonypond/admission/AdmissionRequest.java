package org.ebonypond.admission;

/**
 * What admission needs to know of a request.
 *
 * @param id the request identity, unique at the entry
 * @param pool the model or the service; each pool has its own queue
 * @param workspace the caller's workspace
 * @param priority 0 to 9; a high value is urgent
 * @param tokens the tokens that it is expected to take, or 1 for a plain call
 * @param deadlineMillis the time by which the answer must be complete, in milliseconds of the
 *     entry's clock
 */
public record AdmissionRequest(
    String id, String pool, String workspace, int priority, long tokens, long deadlineMillis) {
  /** The highest priority. */
  public static final int MAX_PRIORITY = 9;

  /** Bounds the priority and the tokens. */
  public AdmissionRequest {
    priority = Math.max(0, Math.min(MAX_PRIORITY, priority));
    tokens = Math.max(1, tokens);
  }
}
