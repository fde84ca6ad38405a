package org.ebonypond.server.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The validated, immutable settings of a daemon.
 *
 * @param node the name of this process, unique within the system
 * @param zone the availability zone of this process
 * @param http the listen address for callers, operators and backend servers
 * @param peer the listen address for the other processes of the system
 * @param dataFolder the folder of the durable state, or null if this process is not a replica
 * @param replicas all control replicas, including this process if it is one
 * @param ledgerShards the number of shards of the request ledger, the same on every process
 * @param drainNoticeMillis how long a draining process continues to serve, in milliseconds, so that
 *     the load balancer can remove it
 * @param routingPolicy the name of the routing policy plug-in
 * @param placementPolicy the name of the placement policy plug-in
 * @param traceFile the file that records the inputs of the control leader, or null for none
 * @param traceMaxMegabytes the size of the trace file at which recording stops, in MB
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
