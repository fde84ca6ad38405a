package org.ebonypond.document;

import java.util.List;

/**
 * A model that the document declares.
 *
 * @param name the model's name, unique
 * @param version the version to serve
 * @param adapters the adapters to load with the model
 * @param engineKind the engine kind that serves the model
 * @param zones the availability zones in which its groups run
 * @param groupsPerZone the number of groups in each availability zone
 * @param instancesPerGroup the number of instances of a group
 * @param maxConcurrency the maximum number of concurrent requests of a warm group
 * @param coldCeiling the maximum number of concurrent requests of a group that has just started
 * @param warmSeconds the time in seconds over which a started group ramps up to its full
 *     concurrency
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
