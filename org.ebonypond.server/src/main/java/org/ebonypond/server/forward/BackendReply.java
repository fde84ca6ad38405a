package org.ebonypond.server.forward;

import org.jspecify.annotations.Nullable;

/**
 * The decoded status line and headers of a backend server's answer.
 *
 * @param status the HTTP status code
 * @param requestId the identifier of the request that it answers, or null if the header is missing
 * @param notRun whether the backend server declares that it did not run the request
 * @param signed whether it carries the header that marks the answer as a backend server's own
 * @param eventStream whether the body is a stream of events
 * @param blockingInstance the instance because of which the request was not run, or null
 * @param acceptedPerSecond the requests a second that the instance accepts from all callers
 *     together; infinite if it names no limit, NaN if it names one that cannot be read
 * @param leaving whether the instance says that it is leaving
 * @param retryAfterMillis the time after which the instance wants to be asked again, in
 *     milliseconds; 0 if it names none
 */
public record BackendReply(
    int status,
    @Nullable String requestId,
    boolean notRun,
    boolean signed,
    boolean eventStream,
    @Nullable String blockingInstance,
    double acceptedPerSecond,
    boolean leaving,
    long retryAfterMillis) {
  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /** Returns whether a caller concludes from the status that its request is wrong. */
  public boolean isFinalRefusal() {
    return status >= 300 && status < 500 && !impliesNotRun();
  }

  /** Returns whether a caller concludes from the status that its request was not run. */
  public boolean impliesNotRun() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
}
