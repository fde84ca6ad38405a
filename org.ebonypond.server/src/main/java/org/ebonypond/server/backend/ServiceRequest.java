package org.ebonypond.server.backend;

import java.util.List;
import org.ebonypond.ledger.AnswerHeader;

/**
 * One attempt to call a plain service.
 *
 * @param requestId the identifier of the request
 * @param address host and port of the backend server
 * @param boot the expected boot identity of the backend server
 * @param method the HTTP method, upper case
 * @param path the path with a leading slash and the query
 * @param headers the caller's headers that are forwarded
 * @param body the body
 * @param timeoutMillis how long to wait for the answer, in milliseconds
 */
public record ServiceRequest(
    String requestId,
    String address,
    String boot,
    String method,
    String path,
    List<AnswerHeader> headers,
    byte[] body,
    long timeoutMillis) {
  /** Copies the list of headers. */
  public ServiceRequest {
    headers = List.copyOf(headers);
  }
}
