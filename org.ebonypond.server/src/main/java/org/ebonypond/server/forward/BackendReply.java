package org.ebonypond.server.forward;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a backend server's answer says.
 *
 * @param status the status
 * @param requestId the attempt that it answers, or null if it does not say
 * @param notRun whether the backend server states that it has not run the request
 * @param signed whether it carries the signature of a backend server
 * @param culprit the instance that kept the request from running, or null
 */
public record BackendReply(
    int status,
    @Nullable String requestId,
    boolean notRun,
    boolean signed,
    @Nullable String culprit) {
  /** Returns whether the request succeeded. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
