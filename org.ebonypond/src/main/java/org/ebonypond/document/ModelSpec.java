package org.ebonypond.document;

import java.util.List;

/**
 * A model that the document declares.
 *
 * @param name the model's name, unique
 * @param version the version to run
 * @param adapters the adapters to load with it
 * @param engineKind the engine kind that runs it
 * @param zones the availability zones in which groups run
 * @param groupsPerZone the number of groups in each availability zone
 * @param instancesPerGroup the number of instances of a group
 * @param maxConcurrency the most requests that a warm group runs at once
 * @param coldCeiling the most requests that a starting group runs at once
 * @param warmSeconds the time in seconds over which a starting group reaches its full concurrency
 */
public record ModelSpec(
    String name,
    String version,
    List<String> adapters,
    String engineKind,
    List<String> zones,
    int groupsPerZone,
    int instancesPerGroup,
    int maxConcurrency,
    int coldCeiling,
    int warmSeconds) {
  /** Copies the lists. */
  public ModelSpec {
    adapters = List.copyOf(adapters);
    zones = List.copyOf(zones);
  }
}
