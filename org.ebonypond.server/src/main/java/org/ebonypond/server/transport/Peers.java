package org.ebonypond.server.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends frames to the other processes of the system. Implementations are thread-safe. */
public interface Peers {
  /** Sends a frame that expects no answer; it is dropped if the address cannot be reached. */
  void send(InetSocketAddress to, FrameType type, String channel, byte[] payload);

  /**
   * Sends a request.
   *
   * @param to the peer's address
   * @param type the frame type
   * @param channel the name of the replicated log, or an empty string
   * @param payload the encoded message
   * @param timeoutMillis the timeout of the request, in milliseconds; an answer that is arriving by
   *     then may take several times as long
   * @return the payload of the answer; fails with {@code no-quorum} if none arrives in time
   */
  CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis);
}
