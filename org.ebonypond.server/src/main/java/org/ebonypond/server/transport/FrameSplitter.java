package org.ebonypond.server.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Splits the bytes of a connection into frames, and reports what it keeps of an unfinished one. */
final class FrameSplitter extends LengthFieldBasedFrameDecoder {
  private static final int MAX_FRAME_BYTES = 16 << 20;
  static final int LENGTH_BYTES = 4;

  /** Learns of the bytes of an unfinished frame. */
  interface Observer {
    /**
     * Called after each read.
     *
     * @param bytes the bytes of an unfinished frame, 0 if there is none
     */
    void unfinished(int bytes);
  }

  private final Observer observer;

  FrameSplitter(Observer observer) {
    super(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    this.observer = observer;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    super.channelRead(ctx, message);
    observer.unfinished(actualReadableBytes());
  }
}
