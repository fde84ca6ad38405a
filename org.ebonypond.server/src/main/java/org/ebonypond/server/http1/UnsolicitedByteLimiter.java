package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a backend server may send without any of them belonging to the expected
 * answer. Without this limit the HTTP codec would skip any number of empty lines, and the
 * connection any number of interim answers and answers to other requests.
 */
final class UnsolicitedByteLimiter extends ChannelInboundHandlerAdapter {
  /** Sufficient for a late answer to another request and several heads of the maximum size. */
  private static final int MAX_BYTES = 256 << 10;

  private long bytes;

  /** Resets the count, because the bytes received last belong to the expected answer. */
  void reset() {
    bytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf b) {
      bytes += b.readableBytes();
      if (bytes > MAX_BYTES) {
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(
            new TooLongFrameException("more than " + MAX_BYTES + " bytes without an answer"));
        return;
      }
    }
    ctx.fireChannelRead(message);
  }
}
