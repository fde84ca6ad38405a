package org.ebonypond.server.replica;

/** Sends messages to other replicas. Messages may be lost, delayed, duplicated or reordered. */
public interface RaftTransport {
  /**
   * Sends a message without blocking; drops the message if it cannot be sent.
   *
   * @param channel the name of the replicated log, for example {@code control}
   * @param toReplica the name of the receiving replica
   * @param payload the encoded message
   */
  void send(String channel, String toReplica, byte[] payload);
}
