package org.ebonypond.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a planner keeps between its rounds; a new leadership starts without it. */
final class PlannerState {
  /** Added to the time after which a head notices a lost member, for late messages. */
  static final long STALL_MARGIN_MILLIS = 500;

  /** Orders are remembered for longer than any of them can be carried out late. */
  static final long KEEP_ORDERS_MILLIS = 120_000;

  /** The silence after which an instance counts as lost, in milliseconds. */
  final long silentMillis;

  /** The same for a member of a group that makes no progress. */
  final long quickSilentMillis;

  /** The time after which a head notices that a member is missing, in milliseconds. */
  final long stallMillis;

  /** Bounds the loads from the weight store. */
  final LoadCeiling ceiling;

  /** The orders that were sent. */
  final OrderBook book = new OrderBook();

  /** The groups whose members were ordered to join, by group and epoch. */
  final Map<String, PlannedGroup> planned = new LinkedHashMap<>();

  /** The time until which an instance joins no group, because its old head may still serve. */
  final Map<String, Long> quarantine = new HashMap<>();

  /** The time until which an instance is passed over, because it left orders unanswered. */
  final Map<String, Long> avoid = new HashMap<>();

  /** The group and epoch that an instance has confirmed to have left. */
  final Map<String, String> left = new HashMap<>();

  /** The instance that has reported to be the head of a group, by group and epoch. */
  final Map<String, String> heads = new HashMap<>();

  /** The loads for later use that have begun, by instance. */
  final Map<String, Staging> staging = new HashMap<>();

  /** The groups that are being dissolved for another model, with the time of the decision. */
  final Map<String, Long> retiring = new HashMap<>();

  /** Since when a group lacks a report of one of its members. */
  final Map<String, Long> incompleteSince = new HashMap<>();

  /** The term of the leadership, which is the fencing number of its orders; -1 before the first. */
  long term = -1;

  /** When the leadership began, in milliseconds. */
  long leadsSince;

  /** The highest epoch that was given or seen. */
  long epochs;

  PlannerState(long silentMillis, long quickSilentMillis, long stallMillis, LoadCeiling ceiling) {
    this.silentMillis = silentMillis;
    this.quickSilentMillis = quickSilentMillis;
    this.stallMillis = stallMillis;
    this.ceiling = ceiling;
  }

  /**
   * A load of a model onto a host for later use.
   *
   * @param model the model
   * @param startMillis the life of the instance; a load ends with it
   * @param since when it was ordered, in milliseconds
   */
  record Staging(String model, long startMillis, long since) {}
}
