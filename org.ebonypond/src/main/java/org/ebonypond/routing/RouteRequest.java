package org.ebonypond.routing;

import java.util.Set;
import org.ebonypond.control.InstanceKind;

/**
 * The properties of a request that the router uses.
 *
 * @param id the request identity
 * @param kind engine for a model request, service for a plain call
 * @param pool the model or the service
 * @param workspace the caller's workspace
 * @param promptTokens the length of the prompt in tokens, or 0 for a plain call
 * @param prefix the chained hashes of the prompt's blocks, see {@link PromptBlocks}
 * @param tried the keys of the targets that failed this request before
 */
public record RouteRequest(
    String id,
    InstanceKind kind,
    String pool,
    String workspace,
    int promptTokens,
    PromptBlocks prefix,
    Set<String> tried) {
  /** Copies the set of tried targets. */
  public RouteRequest {
    tried = Set.copyOf(tried);
  }

  /** Creates a model request without a failed attempt. */
  public static RouteRequest model(
      String id, String model, String workspace, int promptTokens, PromptBlocks prefix) {
    return new RouteRequest(
        id, InstanceKind.ENGINE, model, workspace, promptTokens, prefix, Set.of());
  }

  /** Creates a plain call without a failed attempt. */
  public static RouteRequest service(String id, String service, String workspace) {
    return new RouteRequest(
        id, InstanceKind.SERVICE, service, workspace, 0, PromptBlocks.NONE, Set.of());
  }

  /** Returns a copy for the next attempt, which excludes the targets tried so far. */
  public RouteRequest withTried(Set<String> keys) {
    return new RouteRequest(id, kind, pool, workspace, promptTokens, prefix, keys);
  }
}
