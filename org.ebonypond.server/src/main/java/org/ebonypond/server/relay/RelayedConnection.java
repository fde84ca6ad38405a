package org.ebonypond.server.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection of another entry and that to the instance which this entry opens for it. */
final class RelayedConnection extends ByteToMessageDecoder {
  private static final Logger LOG = LoggerFactory.getLogger(RelayedConnection.class);

  private final RelayListener listener;
  private final Channel entry;
  private @Nullable Channel instance;
  private boolean requested;
  private long lastBytesAt;

  RelayedConnection(RelayListener listener, Channel entry) {
    this.listener = listener;
    this.entry = entry;
    this.lastBytesAt = listener.timers().nowMillis();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    listener.opened(this);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    Channel to = instance;
    if (requested) {
      lastBytesAt = listener.timers().nowMillis();
    }
    if (to != null) {
      to.writeAndFlush(in.readRetainedSlice(in.readableBytes()));
      return;
    }
    if (requested) {
      // The other entry waits for the answer before it sends more.
      throw new IllegalStateException("bytes before the answer");
    }
    String id = RelayFrames.readRequest(in);
    if (id != null) {
      requested = true;
      lastBytesAt = listener.timers().nowMillis();
      if (listener.mayRelay()) {
        listener.requested(this);
        connect(id);
      } else {
        refuse(id, RelayStatus.BUSY);
      }
    }
  }

  private void connect(String id) {
    InetSocketAddress address = listener.address(id);
    if (address == null) {
      refuse(id, RelayStatus.UNKNOWN_INSTANCE);
    } else if (!listener.reaches(id)) {
      refuse(id, RelayStatus.CUT_OFF);
    } else {
      ChannelFuture connecting =
          new Bootstrap()
              .group(listener.loop())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              // Distinguishes the end of the instance's direction from that of the connection.
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.WRITE_BUFFER_WATER_MARK, RelayListener.BUFFERED_BYTES)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, listener.connectTimeoutMillis())
              .handler(new InstanceHandler())
              .connect(address);
      connecting.addListener(
          f -> {
            if (f.isSuccess()) {
              connected(connecting.channel());
            } else {
              LOG.atInfo()
                  .addKeyValue("instance", id)
                  .addKeyValue("reason", String.valueOf(f.cause().getMessage()))
                  .log("relayed connection failed");
              refuse(id, RelayStatus.UNREACHABLE);
            }
          });
    }
  }

  private void connected(Channel to) {
    if (!entry.isActive()) {
      to.close();
      return;
    }
    instance = to;
    answer(RelayStatus.CONNECTED);
    if (listener.isDraining()) {
      retire();
    }
  }

  private void refuse(String id, RelayStatus s) {
    if (s != RelayStatus.UNREACHABLE) {
      LOG.atInfo()
          .addKeyValue("instance", id)
          .addKeyValue("peer", String.valueOf(entry.remoteAddress()))
          .addKeyValue("answer", s)
          .log("connection not relayed");
    }
    answer(s).addListener(ChannelFutureListener.CLOSE);
  }

  private ChannelFuture answer(RelayStatus s) {
    return entry.writeAndFlush(entry.alloc().buffer(1).writeByte(s.code()));
  }

  /** Asks the other entry to send no further request on this connection. */
  void retire() {
    if (instance != null) {
      entry.writeAndFlush(RelayFrames.header(entry.alloc(), RelayFrames.RETIRE));
    }
  }

  void closeIfIdle(long now, long limitMillis) {
    if (now - lastBytesAt >= limitMillis) {
      entry.close();
    }
  }

  void close() {
    entry.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Channel to = instance;
    if (to != null) {
      to.config().setAutoRead(entry.isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    super.channelInactive(ctx);
    listener.closed(this);
    Channel to = instance;
    if (to != null) {
      to.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.atDebug().setCause(cause).log("connection of another entry closed");
    ctx.close();
  }

  /** Sends the last frame and closes the connection of the other entry. */
  private void end(int frame) {
    entry
        .writeAndFlush(RelayFrames.header(entry.alloc(), frame))
        .addListener(ChannelFutureListener.CLOSE);
  }

  /** The connection to the instance. */
  private final class InstanceHandler extends ChannelInboundHandlerAdapter {
    private boolean ended;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (!(message instanceof ByteBuf bytes)) {
        ReferenceCountUtil.release(message);
        return;
      }
      lastBytesAt = listener.timers().nowMillis();
      entry.write(RelayFrames.header(entry.alloc(), bytes.readableBytes()));
      entry.write(bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      entry.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      entry.config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent && !ended) {
        ended = true;
        end(RelayFrames.END);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.atDebug().setCause(cause).log("relayed connection broken");
      ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!ended) {
        ended = true;
        end(RelayFrames.BROKEN);
      }
    }
  }
}
