package org.ebonypond.server.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one daemon; immutable and checked.
 *
 * @param node the name of this process, unique over the system
 * @param zone the availability zone of this process
 * @param http where callers, operators and backend servers connect
 * @param peer where the other processes of the system connect
 * @param dataFolder the folder of the durable state, or null when this process is not a replica
 * @param replicas every control replica, this process included when it is one
 * @param ledgerShards the number of shards of the request ledger, the same on every process
 * @param drainNoticeMillis the time in milliseconds for which a leaving process goes on serving, so
 *     that the load balancer can take it out
 * @param routingPolicy the name of the routing policy plug-in
 * @param placementPolicy the name of the placement policy plug-in
 * @param traceFile the file that takes the inputs of the control leader, or null
 * @param traceMaxMegabytes the size in MB at which recording stops
 */
public record DaemonSettings(
    String node,
    String zone,
    InetSocketAddress http,
    InetSocketAddress peer,
    @Nullable Path dataFolder,
    List<ReplicaAddress> replicas,
    int ledgerShards,
    int drainNoticeMillis,
    String routingPolicy,
    String placementPolicy,
    @Nullable Path traceFile,
    int traceMaxMegabytes) {
  /** Copies the list. */
  public DaemonSettings {
    replicas = List.copyOf(replicas);
  }

  /** Returns whether this process is a control replica. */
  public boolean isReplica() {
    return dataFolder != null;
  }
}
