package org.ebonypond.server.transport;

/**
 * The types of frames between the processes of the system. Frames carry the ordinal, so new types
 * must be added at the end.
 */
public enum FrameType {
  /** A Raft message of a replicated log; has no answer. */
  RAFT,
  /** A command for the leader of a replicated log. */
  PROPOSE,
  /** Requests the last durable index and committed entries from a replica. */
  VIEW_POLL,
  /** Sends announcements of backend servers to the control leader. */
  INSTANCE_REPORT,
  /** Requests the record of a key from a replica of a shard of the request ledger. */
  LEDGER_LOOKUP,
  /** Requests shares of the ceilings of starting backend servers from the control leader. */
  SHARE_REQUEST,
  /** The answer to a frame that has a correlation number. */
  ANSWER,
  /** The answer of a process that failed to handle the frame. */
  FAILURE,
  /** Requests changes of the serving fleet from a control replica. */
  FLEET_POLL,
  /** Requests an empty answer from the event loop of the peer, whatever else it has to do. */
  PING
}
