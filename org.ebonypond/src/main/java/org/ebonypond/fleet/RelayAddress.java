package org.ebonypond.fleet;

/**
 * Where an entry accepts connections of other entries, which it relays to instances.
 *
 * @param address the IP address and port; empty if the entry relays none
 * @param zone the availability zone of the entry
 */
public record RelayAddress(String address, String zone) {
  /** The value of a process that relays no connections. */
  public static final RelayAddress NONE = new RelayAddress("", "");
}
