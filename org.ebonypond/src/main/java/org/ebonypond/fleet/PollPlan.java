package org.ebonypond.fleet;

import java.util.List;

/** Decides when a process polls each control replica and what it requests. Not thread-safe. */
public interface PollPlan {
  /**
   * Returns the polls that are due and records them as sent.
   *
   * @param replicas the names of the known replicas
   * @param heldVersion the version of the configuration that this process holds
   * @param heldZones the log index of the zones out of service that this process holds
   * @param now the time in milliseconds
   */
  List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now);

  /**
   * Records an answer.
   *
   * @param bytes the size of the poll and its answer together
   */
  void answered(String replica, FleetPollResult result, int bytes, long now);

  /** Records that a poll was not answered. */
  void failed(String replica);

  /**
   * A poll to send.
   *
   * @param replica the name of the replica
   * @param home see {@link FleetPoll#home}
   * @param wantsState see {@link FleetPoll#wantsState}
   */
  record PlannedPoll(String replica, boolean home, boolean wantsState) {}
}
