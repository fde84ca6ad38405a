package org.ebonypond.server.http1;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
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
   * The longest line of a request that the decoder of a connection accepts, in bytes; larger than
   * the limit in force, which may change while the connection is open.
   */
  private static final int MAX_LINE_BYTES = 64 << 10;

  /**
   * The most that is read from a connection before the others have their turn, in bytes; the size
   * of the largest head by default.
   */
  private static final int MAX_READ_BYTES = 16 << 10;

  private static final int FIRST_READ_BYTES = 2 << 10;
  private static final int MIN_READ_BYTES = 64;

  /**
   * The kernel's buffers of a connection in each direction, in bytes. They count as memory of the
   * process, and would grow to several megabytes; at a round trip of 10 ms, 6 MB/s remain.
   */
  private static final int SOCKET_BUFFER_BYTES = 64 << 10;

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
  private long sweptAt;
  private boolean skippedSweep;
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
    sweptAt = timers.nowMillis();
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
    c.config()
        .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
        .setSendBufferSize(SOCKET_BUFFER_BYTES)
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1));
    int maxLineBytes = Math.max(MAX_LINE_BYTES, limits.limits().maxHeaderBytes());
    HttpConnection h =
        new HttpConnection(
            c, service, limits, maxLineBytes, all, timers, () -> draining, this::isCrowded);
    c.pipeline().addLast(h.decoder()).addLast(new AnswerEncoder(h)).addLast(h);
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
    if (all.makeRoom(connections, timers.nowMillis())) {
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
    long now = timers.nowMillis();
    // While the process stood still, it could not read what its callers sent.
    skippedSweep = !skippedSweep && now - sweptAt > 2 * SWEEP_MILLIS;
    sweptAt = now;
    if (skippedSweep) {
      return;
    }
    ClientLimits l = limits.limits();
    for (HttpConnection c : new ArrayList<>(connections)) {
      c.closeIfExpired(l, now);
    }
  }

  /** Encodes answers; those to requests for a head have no body. */
  private static final class AnswerEncoder extends HttpResponseEncoder {
    private final HttpConnection connection;

    AnswerEncoder(HttpConnection connection) {
      this.connection = connection;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse r) {
      return connection.isAnsweringHead() || super.isContentAlwaysEmpty(r);
    }
  }
}
