package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer of a backend server. Called on the event loop. */
public interface BackendListener {
  /**
   * Takes the head of an answer.
   *
   * @return whether it belongs to the request; one that does not is dropped with its body
   */
  boolean head(HttpResponse head);

  /** Takes a part of the body, which is released afterwards. */
  void content(ByteBuf bytes);

  /** Takes the end of a whole answer. */
  void end();

  /**
   * Takes the failure of the exchange; nothing follows.
   *
   * @param sent whether any byte of the request may have reached the backend server
   * @param reason what went wrong, for logs
   */
  void failed(boolean sent, String reason);
}
