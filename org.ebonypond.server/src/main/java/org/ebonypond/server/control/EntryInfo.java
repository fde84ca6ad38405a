package org.ebonypond.server.control;

/**
 * An entry as known to the control leader.
 *
 * @param node the node name of the entry
 * @param zone its availability zone
 * @param address host and port of its HTTP interface
 * @param ready whether it accepts requests of callers
 * @param incarnation the incarnation under which it runs calls
 */
public record EntryInfo(
    String node, String zone, String address, boolean ready, long incarnation) {}
