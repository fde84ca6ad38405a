package org.ebonypond.group;

import java.util.List;

/**
 * The actions that are due for the leader.
 *
 * @param reads the engine states to read
 * @param orders the orders to send
 * @param proposals the commands to propose
 */
public record SchedulerOutput(
    List<StateRead> reads, List<OrderToSend> orders, List<Proposal> proposals) {
  /** Nothing to do. */
  public static final SchedulerOutput NONE = new SchedulerOutput(List.of(), List.of(), List.of());

  /** Copies the lists. */
  public SchedulerOutput {
    reads = List.copyOf(reads);
    orders = List.copyOf(orders);
    proposals = List.copyOf(proposals);
  }

  /**
   * A read of an engine state.
   *
   * @param token the token to pass back with the answer
   * @param instance the instance's name
   * @param address host and port of its HTTP interface
   */
  public record StateRead(long token, String instance, String address) {}

  /**
   * An order to an engine instance.
   *
   * @param token the token to pass back with the answer
   * @param instance the instance's name
   * @param address host and port of its HTTP interface
   * @param order the order to send
   */
  public record OrderToSend(long token, String instance, String address, EngineOrder order) {}
}
