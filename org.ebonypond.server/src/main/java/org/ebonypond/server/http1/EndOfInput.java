package org.ebonypond.server.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records that the other side has ended its direction of a connection in order. Precedes the HTTP
 * codec, which completes an answer without a length at any end of its connection, be it a reset or
 * a failed write.
 */
final class EndOfInput extends ChannelInboundHandlerAdapter {
  private boolean reached;

  /** Returns whether everything that the other side sent has been read. */
  boolean isReached() {
    return reached;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      reached = true;
    }
    ctx.fireUserEventTriggered(event);
  }
}
