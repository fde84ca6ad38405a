package org.ebonypond.fleet;

import java.util.List;

/**
 * An order to one instance.
 *
 * @param kind what the instance is to do
 * @param instance the identifier of the instance
 * @param address the address of the instance
 * @param group the name of the group; empty for {@link Kind#STAGE}
 * @param epoch the epoch of the group; 0 for {@link Kind#STAGE}
 * @param model the model, for {@link Kind#JOIN} and {@link Kind#STAGE}
 * @param members the identifiers of the members, head first, for {@link Kind#JOIN}
 * @param fence the fencing number of the control leader
 */
public record FleetOrder(
    Kind kind,
    String instance,
    String address,
    String group,
    long epoch,
    String model,
    List<String> members,
    long fence) {
  /** The kinds of orders. */
  public enum Kind {
    /** Joins a group: loads the model's weights and meets the other members. */
    JOIN,
    /** Starts to serve; only to a head whose members are all ready. */
    OPEN,
    /** Takes no new requests and finishes those in flight. */
    CLOSE,
    /** Drops the requests in flight and takes no new ones. */
    CUT,
    /** Leaves the group at once. */
    LEAVE,
    /** Loads a model's weights onto the host, beside all other activity. */
    STAGE
  }

  /** Copies the list. */
  public FleetOrder {
    members = List.copyOf(members);
  }
}
