package org.ebonypond.server.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends frames to the other processes of the system. Implementations are thread-safe. */
public interface Peers {
  /** Sends a frame that expects no answer; dropped when the address cannot be reached. */
  void send(InetSocketAddress to, FrameType type, String channel, byte[] payload);

  /**
   * Sends a question.
   *
   * @param to the peer's address
   * @param type the kind of frame
   * @param channel the replicated log, or an empty string
   * @param payload the encoded message
   * @param timeoutMillis the longest wait for the answer, in milliseconds; an answer that is
   *     arriving by then may take several times as long
   * @return the payload of the answer; fails with {@code no-quorum} when none arrives in time
   */
  CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis);
}
