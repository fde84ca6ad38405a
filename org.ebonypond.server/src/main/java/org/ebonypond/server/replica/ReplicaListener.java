package org.ebonypond.server.replica;

import org.ebonypond.consensus.RoleChange;

/** Receives events of a replica on the replica's thread; must not block. */
public interface ReplicaListener {
  /** Called after the role or the known leader has changed. */
  void roleChanged(RoleChange change);

  /**
   * Called once when the replica has failed and stopped. The process must be restarted, because its
   * durable state is unknown.
   */
  void failed(Throwable cause);
}
