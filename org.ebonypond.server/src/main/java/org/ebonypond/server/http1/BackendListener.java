package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of a backend server. Called on the event loop. */
public interface BackendListener {
  /**
   * Called with the head of an answer.
   *
   * @return whether it belongs to the request; otherwise it is dropped with its body
   */
  boolean head(HttpResponse head);

  /** Called with a part of the body; the buffer is released after the call. */
  void content(ByteBuf bytes);

  /** Called when the answer is complete. */
  void end();

  /**
   * Called before {@link #failed} if the process that relays the connection has ended it, so that
   * nothing is known of the backend server.
   */
  default void relayLost() {}

  /**
   * Called when the exchange fails; no further calls follow.
   *
   * @param sent whether any byte of the request may have reached the backend server
   * @param reason the cause, for logs
   */
  void failed(boolean sent, String reason);
}
