package org.ebonypond.server.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.server.transport.TcpListener;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Accepts HTTP/1.1 connections on one address. All of them share one event loop. */
public final class HttpListener implements AutoCloseable {
  /**
   * Bytes of a request's head that are read at most, even if the limit in force is lower: it may
   * change while a connection is open. The heads of a thousand connections fit into the heap.
   */
  private static final int MAX_HEADER_BYTES = 64 << 10;

  private static final long SWEEP_MILLIS = 500;

  private final EventLoopGroup loop;
  private final TimerService timers;
  private final HttpService service;
  private final LimitSource limits;
  private final RequestBodyMemory bodies;
  private final Set<HttpConnection> connections = new LinkedHashSet<>();
  private @Nullable Channel channel;
  private boolean draining;

  /**
   * Creates a listener.
   *
   * @param loop the one event loop of all connections
   * @param timers schedules the closing of idle and slow connections
   * @param service handles the requests
   * @param limits supplies the limits on callers that are in force
   * @param bodies the memory for the bodies of requests
   */
  public HttpListener(
      EventLoopGroup loop,
      TimerService timers,
      HttpService service,
      LimitSource limits,
      RequestBodyMemory bodies) {
    this.bodies = bodies;
    this.loop = loop;
    this.timers = timers;
    this.service = service;
    this.limits = limits;
  }

  /**
   * Starts to accept connections.
   *
   * @throws org.ebonypond.errors.EbonypondException {@code settings-invalid} if the address cannot
   *     be bound
   */
  public void listen(InetSocketAddress address) {
    channel =
        TcpListener.bind(
            loop,
            address,
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel c) {
                accept(c);
              }
            },
            "listen");
    timers.every(SWEEP_MILLIS, () -> loop.execute(this::closeExpired));
  }

  /** Starts draining: each further answer closes its connection, so callers reconnect elsewhere. */
  public void drain() {
    loop.execute(() -> draining = true);
  }

  /** Stops accepting connections; open connections are kept. */
  public void stopAccepting() {
    Channel c = channel;
    if (c != null) {
      c.close();
    }
  }

  /** Closes the connections that have no request in progress and no answer to write. */
  public void closeIdle() {
    loop.execute(() -> List.copyOf(connections).forEach(HttpConnection::closeIfIdle));
  }

  /**
   * Returns whether the process can end without a loss for a caller that is connected; to be called
   * on the event loop.
   */
  public boolean isDrained() {
    long now = timers.nowMillis();
    return connections.stream().allMatch(c -> c.isDrained(now));
  }

  /** Resets the connections whose answers are not written; to be called on the event loop. */
  public void resetUnwritten() {
    List.copyOf(connections).forEach(HttpConnection::resetIfUnwritten);
  }

  @Override
  public void close() {
    stopAccepting();
  }

  private void accept(SocketChannel c) {
    int maxHeaderBytes = Math.max(MAX_HEADER_BYTES, limits.limits().maxHeaderBytes());
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            // Lengths that differ are still refused.
            .setAllowDuplicateContentLengths(true);
    HttpConnection h =
        new HttpConnection(c, service, limits, maxHeaderBytes, bodies, timers, () -> draining);
    c.pipeline().addLast(new HttpServerCodec(config)).addLast(h);
    connections.add(h);
    c.closeFuture().addListener(f -> connections.remove(h));
  }

  private void closeExpired() {
    ClientLimits l = limits.limits();
    long now = timers.nowMillis();
    for (HttpConnection c : new ArrayList<>(connections)) {
      c.closeIfExpired(l, now);
    }
  }
}
