package org.ebonypond.server.fleet;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a control replica of the serving fleet.
 *
 * @param name the name of this replica, which is its address IP:PORT
 * @param seeds the names of the replicas that are the initial members of the log
 * @param dataFolder the folder of the log
 * @param voters the intended number of voters of the log
 * @param heartbeatMillis the heartbeat interval of backend servers, in milliseconds
 * @param stallMillis the time after which a group detects a lost member, in milliseconds
 * @param loadWindowMillis the window in which loads from the weight store are counted, in
 *     milliseconds
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
