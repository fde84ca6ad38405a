package org.ebonypond.server.fleet;

import org.ebonypond.fleet.FleetPollResult;

/** Receives the answers to the polls of a process. */
@FunctionalInterface
public interface PollListener {
  /**
   * Called for each answer.
   *
   * @param replica the name of the control replica
   * @param result the answer
   * @param sentAt when the poll was sent, in milliseconds of the timer service
   */
  void answered(String replica, FleetPollResult result, long sentAt);
}
