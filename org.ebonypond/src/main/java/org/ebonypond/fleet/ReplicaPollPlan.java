package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The poll schedule of a control replica: polls all other replicas each time, so that each knows
 * the whole fleet. The configuration is replicated through the log. A replica that is slow to
 * answer is polled less often.
 */
public final class ReplicaPollPlan implements PollPlan {
  /**
   * The pause after an answer as a multiple of the time that it took, so that polls use at most a
   * quarter of the time of a busy replica.
   */
  private static final int PAUSE_FACTOR = 3;

  /** The longest pause; replicas without contact for a second do not count as reachable. */
  private static final long MAX_PAUSE_MILLIS = 500;

  private final String self;
  private final Map<String, Long> outstanding = new HashMap<>();
  private final Map<String, Long> notBefore = new HashMap<>();

  /** Creates the schedule of a replica. */
  public ReplicaPollPlan(String self) {
    this.self = self;
  }

  @Override
  public List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now) {
    notBefore.keySet().retainAll(replicas);
    List<PlannedPoll> out = new ArrayList<>();
    for (String r : replicas) {
      boolean pausing = now < notBefore.getOrDefault(r, Long.MIN_VALUE);
      if (!r.equals(self) && !pausing && outstanding.putIfAbsent(r, now) == null) {
        out.add(new PlannedPoll(r, true, false));
      }
    }
    return out;
  }

  @Override
  public void answered(String replica, FleetPollResult result, int bytes, long now) {
    Long sentAt = outstanding.remove(replica);
    if (sentAt != null) {
      notBefore.put(
          replica, now + Math.min(MAX_PAUSE_MILLIS, PAUSE_FACTOR * Math.max(0, now - sentAt)));
    }
  }

  @Override
  public void failed(String replica) {
    outstanding.remove(replica);
  }
}
