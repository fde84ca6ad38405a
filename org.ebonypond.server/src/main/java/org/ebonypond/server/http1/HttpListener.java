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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts HTTP/1.1 connections on one address. All of them share one event loop. */
public final class HttpListener implements AutoCloseable {
  /**
   * Bytes of a request's head that are read at most, even if the limit in force is lower: it may
   * change while a connection is open. The heads of a thousand connections fit into the heap.
   */
  private static final int MAX_HEADER_BYTES = 64 << 10;

  private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
  private static final long SWEEP_MILLIS = 500;

  /** How long after a connection was turned away the others are not kept open, in milliseconds. */
  private static final long CROWDED_MILLIS = 1_000;

  private final EventLoopGroup loop;
  private final TimerService timers;
  private final HttpService service;
  private final LimitSource limits;
  private final CallerConnections all;
  private final int maxConnections;
  private final Set<HttpConnection> connections = new LinkedHashSet<>();
  private @Nullable Channel channel;
  private boolean draining;
  private long turnedAwayAt = Long.MIN_VALUE / 2;

  /** Connections that were closed for lack of room since the last sweep. */
  private long turnedAway;

  private long closedForOthers;

  /**
   * Creates a listener.
   *
   * @param loop the one event loop of all connections
   * @param timers schedules the closing of idle and slow connections
   * @param service handles the requests
   * @param limits supplies the limits on callers that are in force
   * @param all the connections of the process, with the memory that they share
   * @param maxConnections the number of connections that may be open at a time
   */
  public HttpListener(
      EventLoopGroup loop,
      TimerService timers,
      HttpService service,
      LimitSource limits,
      CallerConnections all,
      int maxConnections) {
    this.all = all;
    this.maxConnections = maxConnections;
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
    if (connections.size() >= maxConnections && !makesRoom()) {
      c.close();
      return;
    }
    int maxHeaderBytes = Math.max(MAX_HEADER_BYTES, limits.limits().maxHeaderBytes());
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            // Lengths that differ are still refused.
            .setAllowDuplicateContentLengths(true);
    HttpConnection h =
        new HttpConnection(
            c, service, limits, maxHeaderBytes, all, timers, () -> draining, this::isCrowded);
    c.pipeline().addLast(new HttpServerCodec(config)).addLast(h);
    connections.add(h);
    all.add(h);
    c.closeFuture()
        .addListener(
            f -> {
              connections.remove(h);
              all.remove(h);
            });
  }

  /** Closes a connection for a new one; returns false if the new one has to go. */
  private boolean makesRoom() {
    if (all.makeRoom(connections)) {
      closedForOthers++;
      return true;
    }
    all.turnAway();
    turnedAway++;
    turnedAwayAt = timers.nowMillis();
    return false;
  }

  /** Returns whether callers are turned away, so that those that were answered have to leave. */
  private boolean isCrowded() {
    return timers.nowMillis() - turnedAwayAt < CROWDED_MILLIS;
  }

  /** Logs in one line what a crowd of connections causes many times. */
  private void logPressure() {
    if (turnedAway > 0 || closedForOthers > 0) {
      LOG.atInfo()
          .addKeyValue("turned_away", turnedAway)
          .addKeyValue("closed", closedForOthers)
          .addKeyValue("connections", connections.size())
          .addKeyValue("max_connections", maxConnections)
          .log("connections over the limit");
    }
    turnedAway = 0;
    closedForOthers = 0;
  }

  private void closeExpired() {
    logPressure();
    ClientLimits l = limits.limits();
    long now = timers.nowMillis();
    for (HttpConnection c : new ArrayList<>(connections)) {
      c.closeIfExpired(l, now);
    }
  }
}
