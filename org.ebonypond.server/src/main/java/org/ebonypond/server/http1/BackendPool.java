package org.ebonypond.server.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.server.relay.RelayClientHandler;
import org.ebonypond.server.relay.RelayPath;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A pool of persistent connections to backend servers. A connection carries one request at a time
 * and is reused only after a complete answer that left no unread bytes. Confined to one event loop.
 */
public final class BackendPool {
  /** Idle timeout of connections whose backend server announces none, in milliseconds. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

  /**
   * Subtracted from the announced idle timeout, because a backend server may close its end this
   * much earlier, in milliseconds.
   */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  private static final long SWEEP_MILLIS = 1_000;

  /** Precedes the identifier of an instance in the key of its relayed connections. */
  private static final String RELAYED = "relayed ";

  private final EventLoopGroup loop;
  private final TimerService timers;
  private final int connectTimeoutMillis;
  private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();
  private final Map<String, Integer> open = new HashMap<>();
  private long connects;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop of every connection
   * @param timers schedules the closing of idle connections
   * @param connectTimeoutMillis the timeout for opening a connection, in milliseconds
   */
  public BackendPool(EventLoopGroup loop, TimerService timers, int connectTimeoutMillis) {
    this.loop = loop;
    this.timers = timers;
    this.connectTimeoutMillis = connectTimeoutMillis;
    timers.every(SWEEP_MILLIS, () -> loop.execute(this::closeExpired));
  }

  /**
   * Sends a request.
   *
   * @param instance the identifier of the instance; instances at the same address do not share
   *     connections
   * @param address the IP address and port of the instance
   * @param head the request line and headers; with {@code Connection: close} the connection is not
   *     used again
   * @param body the body; its ownership passes to the pool
   * @param maxIdleMillis a connection that has been idle for longer is not used for this request,
   *     in milliseconds
   * @param listener receives the answer
   */
  public BackendExchange send(
      String instance,
      InetSocketAddress address,
      HttpRequest head,
      ByteBuf body,
      long maxIdleMillis,
      BackendListener listener) {
    return send(instance, address, null, head, body, maxIdleMillis, listener);
  }

  /**
   * Sends a request, through another entry if a path is given.
   *
   * @param path the way through another entry, which then opens the connection to the instance;
   *     null for a direct connection
   */
  public BackendExchange send(
      String instance,
      InetSocketAddress address,
      @Nullable RelayPath path,
      HttpRequest head,
      ByteBuf body,
      long maxIdleMillis,
      BackendListener listener) {
    String key = path == null ? instance : RELAYED + instance;
    BackendConnection reused = takeIdle(key, maxIdleMillis);
    if (reused != null) {
      return reused.send(head, body, listener);
    }
    BackendConnection c = new BackendConnection(this, key, timers);
    final BackendExchange x = c.send(head, body, listener);
    final RelayClientHandler relay =
        path == null ? null : new RelayClientHandler(instance, timers, path.observer(), c::retire);
    connects++;
    open.merge(instance, 1, Integer::sum);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // Distinguishes the end of the other side's direction from that of the connection.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    if (relay != null) {
                      ch.pipeline().addLast(relay);
                    }
                    ch.pipeline()
                        .addLast(c.unsolicitedByteLimiter())
                        .addLast(c.endOfInput())
                        .addLast(new ResponseDecoder(c::isHeadRequested))
                        .addLast(new HttpRequestEncoder())
                        .addLast(c);
                  }
                })
            .connect(path == null ? address : path.address());
    connecting.channel().closeFuture().addListener(f -> closed(instance));
    connecting.addListener(
        f -> {
          if (!f.isSuccess()) {
            if (relay != null) {
              relay.connectFailed();
            }
            c.connectFailed(String.valueOf(f.cause().getMessage()));
          }
        });
    return x;
  }

  /** Returns the number of open connections to an instance. */
  public int connections(String instance) {
    return open.getOrDefault(instance, 0);
  }

  /** Returns whether an instance has an idle connection. */
  public boolean hasIdle(String instance) {
    return isIdle(instance) || isIdle(RELAYED + instance);
  }

  private boolean isIdle(String key) {
    Deque<BackendConnection> q = idle.get(key);
    return q != null && !q.isEmpty();
  }

  /** Closes the idle direct connections to an instance that this entry cannot reach any more. */
  public void closeIdle(String instance) {
    Deque<BackendConnection> q = idle.remove(instance);
    if (q != null) {
      List.copyOf(q).forEach(BackendConnection::close);
    }
  }

  /**
   * Opens a connection to an instance and closes it, to learn whether the instance can be reached.
   *
   * @return completes with whether the connection was established
   */
  public CompletableFuture<Boolean> probe(InetSocketAddress address) {
    CompletableFuture<Boolean> reached = new CompletableFuture<>();
    connects++;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture f) -> {
              reached.complete(f.isSuccess());
              f.channel().close();
            });
    return reached;
  }

  /** Returns the number of connections opened so far. */
  public long connects() {
    return connects;
  }

  void release(String key, BackendConnection c) {
    idle.computeIfAbsent(key, k -> new ArrayDeque<>()).addFirst(c);
  }

  void remove(String key, BackendConnection c) {
    Deque<BackendConnection> q = idle.get(key);
    if (q != null) {
      q.remove(c);
    }
  }

  static long idleTimeoutMillis(long announcedMillis) {
    return announcedMillis <= 0
        ? DEFAULT_IDLE_TIMEOUT_MILLIS
        : Math.max(IDLE_MARGIN_MILLIS / 4, announcedMillis - IDLE_MARGIN_MILLIS);
  }

  private @Nullable BackendConnection takeIdle(String key, long maxIdleMillis) {
    Deque<BackendConnection> q = idle.get(key);
    if (q == null) {
      return null;
    }
    long now = timers.nowMillis();
    while (true) {
      BackendConnection c = q.pollFirst();
      if (c == null) {
        return null;
      }
      if (c.isUsable(now, maxIdleMillis)) {
        return c;
      }
      if (!c.isUsable(now, Long.MAX_VALUE)) {
        c.close();
        continue;
      }
      q.addFirst(c);
      return null;
    }
  }

  private void closed(String instance) {
    open.computeIfPresent(instance, (k, n) -> n <= 1 ? null : n - 1);
  }

  private void closeExpired() {
    long now = timers.nowMillis();
    for (Deque<BackendConnection> q : idle.values()) {
      q.removeIf(
          c -> {
            boolean expired = !c.isUsable(now, Long.MAX_VALUE);
            if (expired) {
              c.close();
            }
            return expired;
          });
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
