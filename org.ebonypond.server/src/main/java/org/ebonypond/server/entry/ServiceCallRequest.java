package org.ebonypond.server.entry;

import java.util.List;
import org.ebonypond.ledger.AnswerHeader;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request to a plain service.
 *
 * @param id the identifier of the request
 * @param workspace the caller's workspace
 * @param service the name of the plain service
 * @param method the HTTP method, upper case
 * @param path the path below the service, with a leading slash and the query
 * @param headers the caller's headers that are forwarded
 * @param body the body
 * @param key the idempotency key, or null
 * @param idempotent whether the document declares the call idempotent
 * @param priority 0 to 9; higher values are more urgent
 * @param deadlineMillis the time by which the answer must be complete, on this entry's clock
 */
public record ServiceCallRequest(
    String id,
    String workspace,
    String service,
    String method,
    String path,
    List<AnswerHeader> headers,
    byte[] body,
    @Nullable String key,
    boolean idempotent,
    int priority,
    long deadlineMillis) {
  /** Copies the list of headers. */
  public ServiceCallRequest {
    headers = List.copyOf(headers);
  }
}
