package org.ebonypond.server.replica;

import org.ebonypond.consensus.RoleChange;

/** Is told what happens to a replica, on the thread of the replica; must not block. */
public interface ReplicaListener {
  /** Called after the role or the known leader has changed. */
  void roleChanged(RoleChange change);

  /**
   * Called once when the replica has failed and stopped. The process must be restarted, because
   * what is durable is no longer known.
   */
  void failed(Throwable cause);
}
