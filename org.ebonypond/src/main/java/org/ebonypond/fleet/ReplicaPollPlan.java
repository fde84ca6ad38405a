package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The poll schedule of a control replica: polls all other replicas each time, so that each knows
 * the whole fleet. The configuration is replicated through the log.
 */
public final class ReplicaPollPlan implements PollPlan {
  private final String self;
  private final Set<String> outstanding = new HashSet<>();

  /** Creates the schedule of a replica. */
  public ReplicaPollPlan(String self) {
    this.self = self;
  }

  @Override
  public List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now) {
    List<PlannedPoll> out = new ArrayList<>();
    for (String r : replicas) {
      if (!r.equals(self) && outstanding.add(r)) {
        out.add(new PlannedPoll(r, true, false));
      }
    }
    return out;
  }

  @Override
  public void answered(String replica, FleetPollResult result, int bytes, long now) {
    outstanding.remove(replica);
  }

  @Override
  public void failed(String replica) {
    outstanding.remove(replica);
  }
}
