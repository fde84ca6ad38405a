package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Tracks for rank 0 which other members of its group are present. A member is missing until it
 * reports that it is loaded for the same group under the same fencing number. Not thread-safe.
 */
public final class MemberWatch {
  private EngineOrder order = new EngineOrder(0, "unload", "", "", List.of(), "", 0, List.of());
  private final Set<String> present = new HashSet<>();
  private final Map<String, Integer> timeouts = new HashMap<>();
  private long missingSince;
  private boolean complete;

  /** Starts to track the members of an order. Has no effect if the order is unchanged. */
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
   * Records the answer of a member to a poll.
   *
   * @param member the member's address
   * @param polledOrder the order that was in force when the poll was sent; answers under another
   *     order are ignored
   * @param state the member's state, or null if the poll failed other than by a read timeout
   * @param now monotonic milliseconds
   */
  public void answered(String member, EngineOrder polledOrder, @Nullable JsonNode state, long now) {
    if (!polledOrder.equals(order)) {
      return;
    }
    timeouts.remove(member);
    boolean loaded =
        state != null
            && state.path("group").asText().equals(order.group())
            && state.path("fencing").asLong() == order.fencing()
            && !state.path("status").asText().equals("loading")
            && !state.path("status").asText().equals("idle");
    setPresent(member, loaded, now);
  }

  /** Records a read timeout of a poll; after the second in a row the member is missing. */
  public void timedOut(String member, EngineOrder polledOrder, long now) {
    if (polledOrder.equals(order) && timeouts.merge(member, 1, Integer::sum) >= 2) {
      setPresent(member, false, now);
    }
  }

  /** Returns whether all members were present at the same time at least once under this order. */
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

  /** Returns for how long any member has been missing, in milliseconds; 0 if none is. */
  public long missingFor(long now) {
    return missing() ? now - missingSince : 0;
  }

  private void setPresent(String member, boolean loaded, long now) {
    boolean wasMissing = missing();
    if (loaded) {
      present.add(member);
    } else {
      present.remove(member);
    }
    if (!wasMissing && missing()) {
      missingSince = now;
    }
    complete |= !missing();
  }
}
