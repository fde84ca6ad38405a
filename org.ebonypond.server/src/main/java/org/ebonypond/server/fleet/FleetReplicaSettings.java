package org.ebonypond.server.fleet;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a control replica of the serving fleet.
 *
 * @param name the name and address of this replica, IP:PORT
 * @param seeds the names of the replicas that form the first configuration of the log
 * @param dataFolder the folder of the log
 * @param voters the number of voters that the log should have
 * @param heartbeatMillis the time between two heartbeats of a backend server, in milliseconds
 * @param stallMillis the time after which a group notices a lost member, in milliseconds
 * @param loadWindowMillis the window in which loads from the weight store are counted
 */
public record FleetReplicaSettings(
    String name,
    List<String> seeds,
    Path dataFolder,
    int voters,
    long heartbeatMillis,
    long stallMillis,
    long loadWindowMillis) {
  /** Copies the list. */
  public FleetReplicaSettings {
    seeds = List.copyOf(seeds);
  }
}
