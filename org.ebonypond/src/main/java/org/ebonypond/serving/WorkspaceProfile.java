package org.ebonypond.serving;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A workspace and the API keys of its callers.
 *
 * @param name the name of the workspace
 * @param keys the valid keys; never logged
 * @param priority the priority of its requests, which overrides the route's; null if it has none
 */
public record WorkspaceProfile(String name, Set<String> keys, @Nullable Integer priority) {
  /** Copies the set. */
  public WorkspaceProfile {
    keys = Set.copyOf(keys);
  }

  @Override
  public String toString() {
    return "WorkspaceProfile[name=" + name + ", keys=" + keys.size() + "]";
  }
}
