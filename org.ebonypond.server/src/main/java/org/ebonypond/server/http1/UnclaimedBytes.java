package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds the bytes that a backend server sends without any of them being a part of the answer that
 * is due. The HTTP codec passes over empty lines, and the connection over interim answers and
 * answers of other requests, as long as they come.
 */
final class UnclaimedBytes extends ChannelInboundHandlerAdapter {
  /** A late answer of another request fits in, and several heads of the largest size. */
  private static final int MAX_BYTES = 256 << 10;

  private long bytes;

  /** Notes that what was received last is a part of the answer. */
  void claimed() {
    bytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf b) {
      bytes += b.readableBytes();
      if (bytes > MAX_BYTES) {
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(
            new TooLongFrameException("no answer in more than " + MAX_BYTES + " bytes"));
        return;
      }
    }
    ctx.fireChannelRead(message);
  }
}
