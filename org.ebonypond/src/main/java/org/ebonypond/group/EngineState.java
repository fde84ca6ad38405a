package org.ebonypond.group;

import java.util.List;

/**
 * The state that an engine instance returned to a read.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param status the status of the engine
 * @param group the group, or an empty string
 * @param rank the rank in the group, or -1
 * @param members the addresses of all members by rank
 * @param model the model, or an empty string
 * @param version the model's version, or an empty string
 * @param fencing the fencing number of the last order that it executed, or 0
 */
public record EngineState(
    String instance,
    String boot,
    EngineStatus status,
    String group,
    int rank,
    List<String> members,
    String model,
    String version,
    long fencing) {
  /** Copies the list. */
  public EngineState {
    members = List.copyOf(members);
  }
}
