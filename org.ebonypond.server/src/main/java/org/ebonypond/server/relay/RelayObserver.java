package org.ebonypond.server.relay;

/** Learns how an entry does that relays a connection. Called on the event loop. */
public interface RelayObserver {
  /** Called once, with the answer of the entry, or {@link RelayStatus#NO_ANSWER}. */
  void answered(RelayStatus status);

  /**
   * Called if the entry ends a connection that it relayed, for another reason than the instance.
   */
  void lost();
}
