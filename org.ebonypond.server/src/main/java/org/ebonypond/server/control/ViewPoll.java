package org.ebonypond.server.control;

import java.util.List;

/**
 * A request of an entry for the committed control state.
 *
 * @param node the node name of the polling entry
 * @param zone its availability zone
 * @param http host and port of its HTTP interface
 * @param ready whether it accepts requests of callers
 * @param incarnation the incarnation under which it runs calls
 * @param appliedIndex the index of the last log entry that it has applied
 * @param listEntries whether the leader's digest must list the entries
 * @param loadsOf the instances whose loads the leader's digest must contain
 */
public record ViewPoll(
    String node,
    String zone,
    String http,
    boolean ready,
    long incarnation,
    long appliedIndex,
    boolean listEntries,
    List<String> loadsOf) {
  /** Copies the list. */
  public ViewPoll {
    loadsOf = List.copyOf(loadsOf);
  }
}
