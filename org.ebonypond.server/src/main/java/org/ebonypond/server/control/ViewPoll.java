package org.ebonypond.server.control;

/**
 * A process's question for the committed control state.
 *
 * @param node the name of the asking process
 * @param zone its availability zone
 * @param http host and port of its HTTP interface
 * @param ready whether it serves callers
 * @param incarnation the incarnation under which it runs calls
 * @param appliedIndex the last index that it has applied
 */
public record ViewPoll(
    String node, String zone, String http, boolean ready, long incarnation, long appliedIndex) {}
