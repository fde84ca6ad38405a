package org.ebonypond.server.forward;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The decoded request line and headers of a caller's request.
 *
 * @param id the identifier of this attempt; a retry by the caller has another one
 * @param host the host, without a port
 * @param path the path, without a query
 * @param deadlineMillis how long the caller waits, in milliseconds; 0 if it sets no deadline
 * @param key the caller's API key, or null
 * @param model the name of the model, or null
 * @param promptTokens the number of tokens of the prompt
 * @param maxOutputTokens the maximum number of tokens of the answer
 * @param hintedTokens the caller's estimate of the number of tokens of the answer; 0 if there is
 *     none
 * @param resumeAfter the identifier of the last event that the caller received, or an empty string
 * @param sharedParts the identifiers of the prompt's parts that other requests may share; the last
 *     part, which belongs to this request or its session, is not among them
 * @param contentHash a hash of the method, the host, the target, and the body or, without one, the
 *     parts of the prompt
 */
public record CallHead(
    String id,
    String host,
    String path,
    long deadlineMillis,
    @Nullable String key,
    @Nullable String model,
    int promptTokens,
    int maxOutputTokens,
    int hintedTokens,
    String resumeAfter,
    List<Long> sharedParts,
    long contentHash) {
  /** Returns the expected number of tokens of the answer. */
  public int outputTokens() {
    return hintedTokens > 0 ? Math.min(hintedTokens, maxOutputTokens) : maxOutputTokens;
  }

  @Override
  public String toString() {
    return "CallHead[id=" + id + ", host=" + host + ", path=" + path + "]";
  }
}
