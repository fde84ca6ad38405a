package org.ebonypond.server.backend;

import java.util.List;
import org.ebonypond.ledger.AnswerHeader;

/**
 * One attempt of a call to a plain service.
 *
 * @param requestId the identity of the request
 * @param address host and port of the backend server
 * @param boot the expected boot identity
 * @param method the HTTP method, upper case
 * @param path the path with the query, with a leading slash
 * @param headers the caller's headers that are passed on
 * @param body the body
 * @param timeoutMillis the longest wait for the answer, in milliseconds
 * @param repeatable whether a pooled connection may be used; the loss of one before the request is
 *     read cannot be told from a loss after it
 */
public record ServiceRequest(
    String requestId,
    String address,
    String boot,
    String method,
    String path,
    List<AnswerHeader> headers,
    byte[] body,
    long timeoutMillis,
    boolean repeatable) {
  /** Copies the list. */
  public ServiceRequest {
    headers = List.copyOf(headers);
  }
}
