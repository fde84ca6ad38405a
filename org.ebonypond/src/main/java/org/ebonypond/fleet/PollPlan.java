package org.ebonypond.fleet;

import java.util.List;

/** Decides which control replicas a process polls, and what it asks of each. Not thread-safe. */
public interface PollPlan {
  /**
   * Returns the polls that are due; they count as asked.
   *
   * @param replicas the known replicas
   * @param heldVersion the version of the configuration that this process holds
   * @param heldZones the log index of the zones that this process holds
   * @param now the time in milliseconds
   */
  List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now);

  /**
   * Takes an answer.
   *
   * @param bytes the size of the poll and its answer
   */
  void answered(String replica, FleetPollResult result, int bytes, long now);

  /** Takes the news that a poll was not answered. */
  void failed(String replica);

  /**
   * A poll.
   *
   * @param replica the name of the replica
   * @param home see {@link FleetPoll#home}
   * @param wantsState see {@link FleetPoll#wantsState}
   */
  record PlannedPoll(String replica, boolean home, boolean wantsState) {}
}
