package org.ebonypond.fleet;

import java.util.List;

/**
 * Asks a control replica for what has changed, and tells it the load that the asker has under way.
 *
 * @param node the name of the asking process
 * @param address the address of an asking control replica; empty if the asker is an entry
 * @param version the version of the configuration that the asker holds
 * @param zonesIndex the log index of the zones out of service that the asker holds
 * @param boot the start of the control replica that the cursor belongs to
 * @param cursor the position in the replica's table of instances; 0 for everything
 * @param home whether the asker reports its load here, and wants the loads of the others and the
 *     instances that changed; an entry has one home among the replicas
 * @param wantsState whether the asker wants the configuration and the zones if they are newer
 * @param requests the requests that the asker has received since its start
 * @param loads the work of the asker, by instance; that of the entries at home there if the asker
 *     is a replica
 */
public record FleetPoll(
    String node,
    String address,
    long version,
    long zonesIndex,
    long boot,
    long cursor,
    boolean home,
    boolean wantsState,
    long requests,
    List<HeadLoad> loads) {}
