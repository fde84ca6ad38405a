package org.ebonypond.fleet;

/**
 * What a process says in its polls about connections that entries relay for each other.
 *
 * @param own where it relays connections of others
 * @param wanted whether the answer should name other entries that relay connections
 */
public record RelayReport(RelayAddress own, boolean wanted) {
  /** The report of a process that neither relays connections nor asks for relays. */
  public static final RelayReport NONE = new RelayReport(RelayAddress.NONE, false);
}
