package org.ebonypond.serving;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A workspace and the keys that its callers present.
 *
 * @param name the name of the workspace
 * @param keys the valid keys; never logged
 * @param priority the rank of its requests, which goes before the route's; null if it has none
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
