package org.ebonypond.server.entry;

import java.util.List;
import org.ebonypond.ledger.AnswerHeader;
import org.jspecify.annotations.Nullable;

/**
 * A call of a plain service that a caller asked for.
 *
 * @param id the request identity
 * @param workspace the workspace
 * @param service the plain service
 * @param method the HTTP method, upper case
 * @param path the path below the service with the query, with a leading slash
 * @param headers the caller's headers that are passed on
 * @param body the body
 * @param key the idempotency key, or null
 * @param idempotent whether the document declares the call idempotent
 * @param priority 0 to 9; a high value is urgent
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
  /** Copies the list. */
  public ServiceCallRequest {
    headers = List.copyOf(headers);
  }
}
