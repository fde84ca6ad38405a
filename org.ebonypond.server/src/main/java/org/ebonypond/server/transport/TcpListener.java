package org.ebonypond.server.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Binds TCP server sockets. */
public final class TcpListener {
  /** Connections that may wait to be accepted; after a failure many callers reconnect at once. */
  private static final int BACKLOG = 1_024;

  private TcpListener() {}

  /**
   * Binds an address and starts to accept connections.
   *
   * @param loops the event loops of the connections
   * @param address the local address
   * @param handler initializes each accepted connection
   * @param setting the name of the setting with the address, for the error message
   * @throws EbonypondException {@code settings-invalid} if the address cannot be bound
   */
  public static Channel bind(
      EventLoopGroup loops, InetSocketAddress address, ChannelHandler handler, String setting) {
    ChannelFuture f =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(handler)
            .bind(address)
            .awaitUninterruptibly();
    if (!f.isSuccess()) {
      throw new EbonypondException(
          f.cause(),
          ErrorCode.SETTINGS_INVALID,
          setting,
          "cannot listen on " + address,
          "use a free local address and port");
    }
    return f.channel();
  }
}
