package org.ebonypond.trace;

import java.util.List;
import java.util.Set;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlView;
import org.ebonypond.group.EngineOrder;

/**
 * The outcome of a replay. Sums and counts begin at the start of the measurement; lists cover the
 * whole trace.
 *
 * @param finalView the view after the last record
 * @param proposals every proposal, in order
 * @param orders every order, in order
 * @param groupMillisDown the sum over time of declared groups that were not ready, in
 *     group-milliseconds
 * @param instanceMillisStranded the sum over time of stranded instances, in instance-milliseconds
 * @param moves the number of instances added to groups
 * @param ordersAfterStepDown the number of orders and reads issued without leadership
 * @param shortestWaitMillis the shortest time from the start of a term to its first order or read,
 *     in milliseconds, or -1 if there was none
 * @param longestDetectionMillis the longest time from the last announcement of a silent instance,
 *     or from the start of the term, to the proposal that it is down, in milliseconds, or -1
 * @param zonesWithGroups the availability zones in which a group was ready at any time of the
 *     measurement
 * @param unproposedCommits the committed commands of the leader that the replay did not propose
 * @param unmatchedAnswers the number of answers that match no order or read of the replay
 * @param twoGroups how often an instance was found in two groups
 * @param violations the invariant violations, in order
 */
public record TraceOutcome(
    ControlView finalView,
    List<TimedProposal> proposals,
    List<TimedOrder> orders,
    long groupMillisDown,
    long instanceMillisStranded,
    long moves,
    long ordersAfterStepDown,
    long shortestWaitMillis,
    long longestDetectionMillis,
    Set<String> zonesWithGroups,
    List<ControlCommand> unproposedCommits,
    long unmatchedAnswers,
    long twoGroups,
    List<String> violations) {
  /** Copies the collections. */
  public TraceOutcome {
    proposals = List.copyOf(proposals);
    orders = List.copyOf(orders);
    zonesWithGroups = Set.copyOf(zonesWithGroups);
    unproposedCommits = List.copyOf(unproposedCommits);
    violations = List.copyOf(violations);
  }

  /**
   * A proposal.
   *
   * @param at the time in milliseconds
   * @param command the proposed command
   * @param reason the reason, for display
   */
  public record TimedProposal(long at, ControlCommand command, String reason) {}

  /**
   * An order.
   *
   * @param at the time in milliseconds
   * @param instance the instance's name
   * @param order the issued order
   */
  public record TimedOrder(long at, String instance, EngineOrder order) {}
}
