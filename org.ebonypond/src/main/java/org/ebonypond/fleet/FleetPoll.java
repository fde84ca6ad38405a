package org.ebonypond.fleet;

import java.util.List;
import org.ebonypond.quarantine.PartSuspicion;

/**
 * A poll of a control replica: requests what has changed and reports the sender's load.
 *
 * @param node the name of the sending process
 * @param address the address of the sender if it is a control replica; empty if it is an entry
 * @param version the version of the configuration that the sender holds
 * @param zonesIndex the log index of the zones out of service that the sender holds
 * @param boot identifies the start of the control replica that issued the cursor
 * @param cursor the position in the replica's table of instances; 0 requests all records
 * @param home whether the polled replica is the sender's home: it takes the sender's load and
 *     returns the load of the other entries and the changed instances; an entry has one home
 *     replica
 * @param wantsState whether the answer should include the configuration and the zones if they are
 *     newer
 * @param requests the number of requests that the sender has received since its start
 * @param loads the sender's load at each instance; a replica sends the sum over the entries whose
 *     home it is
 * @param suspicions the prompt parts that the sender suspects of crashing instances
 * @param limits the limits that instances named to the sender, or to the entries whose home it is
 * @param relays what the sender says about connections that entries relay for each other
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
    List<InstanceLoad> loads,
    List<PartSuspicion> suspicions,
    List<NamedLimit> limits,
    RelayReport relays) {
  /** Creates the poll of a process that neither relays connections nor asks for relays. */
  public FleetPoll(
      String node,
      String address,
      long version,
      long zonesIndex,
      long boot,
      long cursor,
      boolean home,
      boolean wantsState,
      long requests,
      List<InstanceLoad> loads,
      List<PartSuspicion> suspicions,
      List<NamedLimit> limits) {
    this(
        node,
        address,
        version,
        zonesIndex,
        boot,
        cursor,
        home,
        wantsState,
        requests,
        loads,
        suspicions,
        limits,
        RelayReport.NONE);
  }
}
