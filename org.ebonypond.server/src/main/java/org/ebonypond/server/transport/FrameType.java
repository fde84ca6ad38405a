package org.ebonypond.server.transport;

/** The kinds of frames between the processes of the system. */
public enum FrameType {
  /** A message of a replicated log; has no answer. */
  RAFT,
  /** A command for the leader of a replicated log. */
  PROPOSE,
  /** Asks a replica for its last durable index and for committed entries. */
  VIEW_POLL,
  /** Announcements of backend servers for the control leader. */
  INSTANCE_REPORT,
  /** Asks a replica what a shard of the request ledger holds of a key. */
  LEDGER_LOOKUP,
  /** Asks the control leader for shares of the ceilings of starting backend servers. */
  SHARE_REQUEST,
  /** The answer to a frame that has a correlation number. */
  ANSWER,
  /** The answer of a process that could not handle the frame. */
  FAILURE,
  /** Asks a control replica for changes of the serving fleet. */
  FLEET_POLL
}
