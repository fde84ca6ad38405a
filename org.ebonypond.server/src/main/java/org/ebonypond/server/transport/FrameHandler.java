package org.ebonypond.server.transport;

import java.util.concurrent.CompletableFuture;

/** Handles the frames of one type. Called on an I/O thread; must not block. */
public interface FrameHandler {
  /**
   * Handles a frame.
   *
   * @param frame the received frame
   * @return the payload of the answer; ignored if the frame expects none
   */
  CompletableFuture<byte[]> handle(Frame frame);
}
