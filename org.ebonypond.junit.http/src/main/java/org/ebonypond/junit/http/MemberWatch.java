package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What rank 0 knows about the other members of its group. A member is missing until it reports that
 * it is loaded for the same group under the same fencing number. Not thread-safe.
 */
public final class MemberWatch {
  private EngineOrder order = new EngineOrder(0, "unload", "", "", List.of(), "", 0, List.of());
  private final Set<String> present = new HashSet<>();
  private final Map<String, Integer> timeouts = new HashMap<>();
  private long missingSince;
  private boolean complete;

  /** Begins to watch the members that an order names; does nothing if it is already watched. */
  public void watch(EngineOrder o, long now) {
    if (o.equals(order)) {
      return;
    }
    order = o;
    present.clear();
    timeouts.clear();
    missingSince = now;
    complete = o.members().size() <= 1;
  }

  /**
   * Takes the state that a member answered.
   *
   * @param member the address
   * @param asked the order that was in force when the member was asked
   * @param state the answer, or null if the member refused the connection
   * @param now the time
   */
  public void answered(String member, EngineOrder asked, @Nullable JsonNode state, long now) {
    if (!asked.equals(order)) {
      return;
    }
    timeouts.remove(member);
    boolean loaded =
        state != null
            && state.path("group").asText().equals(order.group())
            && state.path("fencing").asLong() == order.fencing()
            && !state.path("status").asText().equals("loading")
            && !state.path("status").asText().equals("idle");
    set(member, loaded, now);
  }

  /** Takes a timeout of a member; the second in a row counts as missing. */
  public void timedOut(String member, EngineOrder asked, long now) {
    if (asked.equals(order) && timeouts.merge(member, 1, Integer::sum) >= 2) {
      set(member, false, now);
    }
  }

  /** Returns whether all members have been present together since the order. */
  public boolean complete() {
    return complete;
  }

  /** Returns whether a member other than rank 0 is missing. */
  public boolean missing() {
    for (int i = 1; i < order.members().size(); i++) {
      if (!present.contains(order.members().get(i))) {
        return true;
      }
    }
    return false;
  }

  /** Returns how long a member has been missing, in milliseconds; 0 if none is. */
  public long missingFor(long now) {
    return missing() ? now - missingSince : 0;
  }

  private void set(String member, boolean loaded, long now) {
    boolean before = missing();
    if (loaded) {
      present.add(member);
    } else {
      present.remove(member);
    }
    if (!before && missing()) {
      missingSince = now;
    }
    complete |= !missing();
  }
}
