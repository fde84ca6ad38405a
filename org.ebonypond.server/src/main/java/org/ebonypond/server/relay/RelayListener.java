package org.ebonypond.server.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.ebonypond.server.transport.TcpListener;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Relays connections of entries that cannot reach instances which this one can reach. Confined to
 * one event loop.
 */
public final class RelayListener {
  /**
   * The number of connections that are relayed at a time. Where one entry remains for nine, it
   * relays about as many requests as the others have in flight, 150; the descriptors of an entry
   * suffice for ten times as many, and the buffers take at most 16 MB.
   */
  static final int MAX_CONNECTIONS = 256;

  /** The bytes that wait for a slow reader at which the other side is no longer read. */
  static final WriteBufferWaterMark BUFFERED_BYTES = new WriteBufferWaterMark(16 << 10, 32 << 10);

  /**
   * A connection without a byte in either direction for this long is closed, in milliseconds: the
   * longest time that a caller waits without a deadline of its own.
   */
  static final long IDLE_MILLIS = 60_000;

  /**
   * A connection that has not named an instance for this long is closed, in milliseconds; the other
   * entry names it at once, and waits no longer for the answer.
   */
  static final long REQUEST_MILLIS = 1_000;

  private static final long SWEEP_MILLIS = 1_000;

  private final EventLoopGroup loop;
  private final TimerService timers;
  private final Function<String, @Nullable InetSocketAddress> instances;
  private final Predicate<String> reaches;
  private final BooleanSupplier hasCapacity;
  private final int connectTimeoutMillis;
  private final int maxConnections;

  /** Connections that have not named an instance yet, in the order of their arrival. */
  private final Set<RelayedConnection> unrequested = new LinkedHashSet<>();

  private final Set<RelayedConnection> connections = new LinkedHashSet<>();
  private long accepted;
  private boolean draining;

  /**
   * Creates a listener.
   *
   * @param loop the one event loop of all connections
   * @param timers provides the clock and closes idle connections
   * @param instances returns the address of an instance that this entry knows, or null; connections
   *     are relayed to such instances only
   * @param reaches whether this entry reaches an instance by itself, as far as it knows
   * @param hasCapacity whether this entry can take on work of others
   * @param connectTimeoutMillis the timeout for a connection to an instance, in milliseconds
   * @param maxConnections the number of connections of other entries that may be open
   */
  public RelayListener(
      EventLoopGroup loop,
      TimerService timers,
      Function<String, @Nullable InetSocketAddress> instances,
      Predicate<String> reaches,
      BooleanSupplier hasCapacity,
      int connectTimeoutMillis,
      int maxConnections) {
    this.loop = loop;
    this.timers = timers;
    this.instances = instances;
    this.reaches = reaches;
    this.hasCapacity = hasCapacity;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.maxConnections = maxConnections;
  }

  /**
   * Starts to accept connections.
   *
   * @throws org.ebonypond.errors.EbonypondException {@code settings-invalid} if the address cannot
   *     be bound
   */
  public Channel listen(InetSocketAddress address) {
    timers.every(SWEEP_MILLIS, () -> loop.execute(this::closeIdle));
    return TcpListener.bind(
        loop,
        address,
        new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel c) {
            c.config().setWriteBufferWaterMark(BUFFERED_BYTES);
            c.pipeline().addLast(new RelayedConnection(RelayListener.this, c));
          }
        },
        "relay");
  }

  /**
   * Relays no further connections and asks the other entries to send no further requests on the
   * open ones.
   */
  public void drain() {
    draining = true;
    List.copyOf(connections).forEach(RelayedConnection::retire);
  }

  /** Returns the number of connections that are relayed now. */
  public int active() {
    return connections.size();
  }

  /** Returns the number of connections that were relayed so far. */
  public long accepted() {
    return accepted;
  }

  EventLoopGroup loop() {
    return loop;
  }

  TimerService timers() {
    return timers;
  }

  int connectTimeoutMillis() {
    return connectTimeoutMillis;
  }

  @Nullable InetSocketAddress address(String instance) {
    return instances.apply(instance);
  }

  boolean reaches(String instance) {
    return reaches.test(instance);
  }

  boolean isDraining() {
    return draining;
  }

  boolean mayRelay() {
    int limit = Math.min(MAX_CONNECTIONS, maxConnections);
    return !draining && connections.size() < limit && hasCapacity.getAsBoolean();
  }

  /** Adds a connection; without room, one that has not named an instance is closed. */
  void opened(RelayedConnection c) {
    unrequested.add(c);
    if (connections.size() + unrequested.size() > maxConnections) {
      RelayedConnection oldest = unrequested.iterator().next();
      unrequested.remove(oldest);
      oldest.close();
    }
  }

  void requested(RelayedConnection c) {
    unrequested.remove(c);
    accepted++;
    connections.add(c);
  }

  void closed(RelayedConnection c) {
    unrequested.remove(c);
    connections.remove(c);
  }

  private void closeIdle() {
    long now = timers.nowMillis();
    List.copyOf(unrequested).forEach(c -> c.closeIfIdle(now, REQUEST_MILLIS));
    List.copyOf(connections).forEach(c -> c.closeIfIdle(now, IDLE_MILLIS));
  }
}
