package org.ebonypond.server.forward;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says.
 *
 * @param id identifies this attempt of the caller
 * @param host the host, without a port
 * @param path the path, without a query
 * @param deadlineMillis how long the caller waits, in milliseconds; 0 if it does not say
 * @param key the caller's key, or null
 * @param model the model, or null
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens of the answer
 * @param hintedTokens the caller's estimate of the tokens of the answer; 0 if there is none
 * @param resumeAfter the last event that the caller has had, or an empty string
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
    String resumeAfter) {
  /** Returns the expected tokens of the answer. */
  public int outputTokens() {
    return hintedTokens > 0 ? Math.min(hintedTokens, maxOutputTokens) : maxOutputTokens;
  }

  @Override
  public String toString() {
    return "CallHead[id=" + id + ", host=" + host + ", path=" + path + "]";
  }
}
