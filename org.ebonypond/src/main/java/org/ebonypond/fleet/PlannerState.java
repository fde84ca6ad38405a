package org.ebonypond.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The state that a planner keeps between rounds. What concerns instances and groups is cleared at
 * the start of each term.
 */
final class PlannerState {
  /** The margin for late messages, added to the time after which a head detects a lost member. */
  static final long STALL_MARGIN_MILLIS = 500;

  /**
   * How long a heartbeat may be on its way, in milliseconds; instances send another one if it has
   * not been acknowledged by then.
   */
  static final long MAX_HEARTBEAT_DELAY_MILLIS = 1_000;

  /** The low bits of an epoch count within a term; the high bits hold the term. */
  static final int EPOCH_BITS = 24;

  /** How long sent orders are kept; longer than any delay in their execution. */
  static final long KEEP_ORDERS_MILLIS = 120_000;

  /**
   * The longest delay with which an instance executes an order that it did not answer, in
   * milliseconds; from the users' trials of late orders.
   */
  private static final long MAX_EXECUTION_DELAY_MILLIS = 12_000;

  /** How long after it was sent an unanswered order may be executed, in milliseconds. */
  static final long LATE_ORDER_MILLIS = FleetOrder.TIMEOUT_MILLIS + MAX_EXECUTION_DELAY_MILLIS;

  /** The time without a heartbeat after which an instance counts as lost, in milliseconds. */
  final long silentMillis;

  /** The same for a member of a group without progress. */
  final long quickSilentMillis;

  /** The time after which a head detects a missing member, in milliseconds. */
  final long stallMillis;

  /** Limits the loads from the weight store. */
  final WeightLoadLimiter loadLimiter;

  /** The sent orders and their outcomes. */
  final SentOrders sentOrders = new SentOrders();

  /** The groups whose members were ordered to join, by group and epoch. */
  final Map<String, PlannedGroup> planned = new LinkedHashMap<>();

  /** The last group of each instance, whose head may wait for it. */
  final LastGroups lastGroups = new LastGroups();

  /** The time until which an instance is not used, because it did not answer orders. */
  final Map<String, Long> avoidUntil = new HashMap<>();

  /** The answer by which each instance confirmed that it has left a group. */
  final Map<String, LeaveAnswer> confirmedLeft = new HashMap<>();

  /**
   * When each instance was first sent an order of this term that it has executed, in milliseconds.
   * It rejects the orders of earlier leaders since.
   */
  final Map<String, Long> fencedSince = new HashMap<>();

  /** When heads were last ordered to close a group that was closed then, by group and epoch. */
  final Map<String, Long> closedAt = new HashMap<>();

  /** The decisions of the latest round. */
  final DecisionRecorder decisions = new DecisionRecorder();

  /** The instance that reported itself as the head, by group and epoch. */
  final Map<String, String> heads = new HashMap<>();

  /** The staging loads that were ordered, by instance. */
  final Map<String, Staging> staging = new HashMap<>();

  /** The groups being retired to make room for another model, with the time of the decision. */
  final Map<String, Long> retiring = new HashMap<>();

  /** When a group was first found to lack the report of a member, by group and epoch. */
  final Map<String, Long> incompleteSince = new HashMap<>();

  /** When any entry last saw progress at the head of a group, by group and epoch. */
  final Map<String, Long> progressAt = new HashMap<>();

  /** Whether no earlier leader can have sent orders. */
  boolean first;

  /** The current term, used as the fencing number of orders; -1 before the first. */
  long term = -1;

  /** The time at which the current term started, in milliseconds. */
  long termStart;

  /** The highest epoch assigned or observed. */
  long highestEpoch;

  PlannerState(
      long silentMillis, long quickSilentMillis, long stallMillis, WeightLoadLimiter loadLimiter) {
    this.silentMillis = silentMillis;
    this.quickSilentMillis = quickSilentMillis;
    this.stallMillis = stallMillis;
    this.loadLimiter = loadLimiter;
  }

  /** Returns the time after which a head must have found a member missing, in milliseconds. */
  long maxStallMillis() {
    return stallMillis + STALL_MARGIN_MILLIS;
  }

  /** Returns whether an instance has confirmed that it left a group. */
  boolean hasConfirmedLeft(@Nullable String instance, String groupKey) {
    LeaveAnswer a = instance == null ? null : confirmedLeft.get(instance);
    return a != null && a.groupKey().equals(groupKey);
  }

  /**
   * An answer to {@link FleetOrder.Kind#LEAVE}.
   *
   * @param groupKey the group and epoch
   * @param outcome the outcome
   * @param at the time of the answer, in milliseconds
   */
  record LeaveAnswer(String groupKey, OrderOutcome outcome, long at) {}

  /**
   * An ordered load that stages a model on a host.
   *
   * @param model the model
   * @param startMillis the start time of the instance, in milliseconds since 1970; a restart aborts
   *     the load
   * @param since the time of the order, in milliseconds
   */
  record Staging(String model, long startMillis, long since) {}
}
