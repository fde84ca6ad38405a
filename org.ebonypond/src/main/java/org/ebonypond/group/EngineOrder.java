package org.ebonypond.group;

import java.util.List;

/**
 * An order to an engine instance.
 *
 * @param fencing the fencing number: the epoch of the group, or for an unload the log index at
 *     which the instance was released or registered; an engine that checks it refuses lower numbers
 * @param type the kind of order
 * @param model the model, or an empty string for an unload
 * @param version the model's version, or an empty string for an unload
 * @param adapters the adapters to load with the model
 * @param group the group, or an empty string for an unload
 * @param rank the rank in the group, from 0, or -1 for an unload
 * @param members the addresses of all members by rank
 */
public record EngineOrder(
    long fencing,
    Type type,
    String model,
    String version,
    List<String> adapters,
    String group,
    int rank,
    List<String> members) {
  /** Copies the lists. */
  public EngineOrder {
    adapters = List.copyOf(adapters);
    members = List.copyOf(members);
  }

  /** The kinds of orders. */
  public enum Type {
    /** Load the model and take the given rank in the group. */
    LOAD,
    /** Unload the model. */
    UNLOAD,
    /** Keep the loaded model and take another group or rank. */
    ROLE
  }
}
