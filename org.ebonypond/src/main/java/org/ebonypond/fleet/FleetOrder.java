package org.ebonypond.fleet;

import java.util.List;

/**
 * An order that the control leader sends to one instance.
 *
 * @param kind the requested action
 * @param instance the identifier of the instance
 * @param address the address of the instance
 * @param group the name of the group; empty for {@link Kind#STAGE}
 * @param epoch the epoch of the group; 0 for {@link Kind#STAGE}
 * @param model the model; used by {@link Kind#JOIN} and {@link Kind#STAGE}
 * @param members the identifiers of the members, head first; used by {@link Kind#JOIN}
 * @param fencing the fencing number of the control leader
 */
public record FleetOrder(
    Kind kind,
    String instance,
    String address,
    String group,
    long epoch,
    String model,
    List<String> members,
    long fencing) {
  /**
   * The time after which a sender gives up an order without an answer and closes the connection, in
   * milliseconds; about the interval of heartbeats, which show its effect.
   */
  public static final long TIMEOUT_MILLIS = 1_200;

  /** The kinds of orders. */
  public enum Kind {
    /** Joins a group: loads the model's weights and connects to the other members. */
    JOIN,
    /** Starts to serve; sent only to the head, once all members are ready. */
    OPEN,
    /** Accepts no new requests and finishes those in flight. */
    CLOSE,
    /** Aborts the requests in flight and accepts no new ones. */
    CUT,
    /** Leaves the group immediately. */
    LEAVE,
    /** Stages a model's weights on the host, in the background. */
    STAGE
  }

  /** Copies the list. */
  public FleetOrder {
    members = List.copyOf(members);
  }
}
