package org.ebonypond.server.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.PlatformDependent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.time.HybridClock;
import org.ebonypond.time.HybridTimestamp;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The TCP connections to the other processes: one outgoing connection per address, opened on first
 * use. Frames to an unreachable address are dropped, and requests to it fail.
 */
public final class PeerNetwork implements Peers, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerNetwork.class);

  /** More connections than a process has peers, where no limit is given. */
  private static final int DEFAULT_MAX_INCOMING = 4_096;

  /** The part of the direct memory that unfinished frames of incoming connections may take. */
  private static final int UNFINISHED_SHARE = 4;

  private static final long SWEEP_MILLIS = 1_000;
  private static final byte[] NO_PAYLOAD = {};
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Number of times that a timeout is extended while bytes of the answer keep arriving. */
  private static final int MAX_EXTENSIONS = 9;

  // High-water mark above which frames to a slow peer are dropped, so they cannot fill the heap.
  private static final int WRITE_BUFFER_BYTES = 32 << 20;
  private static final AttributeKey<Long> LAST_FRAME = AttributeKey.valueOf("ebonypond.lastFrame");
  private static final AttributeKey<Long> LAST_BYTES = AttributeKey.valueOf("ebonypond.lastBytes");

  private final String node;
  private final HybridClock clock;
  private final TimerService timers;
  private final Map<FrameType, FrameHandler> handlers = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, SilenceLimit> silences = new ConcurrentHashMap<>();
  private final Map<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
  private final AtomicLong nextCorrelation = new AtomicLong(1);
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final EventLoopGroup loops;
  private volatile @Nullable Channel listener;

  /**
   * Creates a network without connections.
   *
   * @param node the name of this process
   * @param clock the hybrid logical clock; frames carry its timestamps, so that effects are ordered
   *     after their causes
   * @param timers schedules the timeouts of requests
   */
  public PeerNetwork(String node, HybridClock clock, TimerService timers) {
    this(node, clock, timers, new NioEventLoopGroup(2, new DefaultThreadFactory("peer-io", true)));
  }

  /**
   * Creates a network without connections, on event loops that {@link #close} shuts down.
   *
   * @param loops the event loops of the connections, on which the handlers are called
   */
  public PeerNetwork(String node, HybridClock clock, TimerService timers, EventLoopGroup loops) {
    this.node = node;
    this.clock = clock;
    this.timers = timers;
    this.loops = loops;
  }

  /** Sets the handler of a frame type; call before {@link #listen}. */
  public void handle(FrameType type, FrameHandler handler) {
    handlers.put(type, handler);
  }

  /**
   * Accepts connections.
   *
   * @param address the local address
   * @throws EbonypondException {@code settings-invalid} if the address cannot be bound
   */
  public void listen(InetSocketAddress address) {
    listen(address, DEFAULT_MAX_INCOMING);
  }

  /**
   * Accepts a limited number of connections.
   *
   * @throws EbonypondException {@code settings-invalid} if the address cannot be bound
   */
  public void listen(InetSocketAddress address, int maxConnections) {
    IncomingConnections incoming =
        new IncomingConnections(
            maxConnections, PlatformDependent.maxDirectMemory() / UNFINISHED_SHARE);
    timers.every(SWEEP_MILLIS, () -> sweep(incoming));
    listener = TcpListener.bind(loops, address, initializer(incoming), "peer");
  }

  private static void closeAll(List<Channel> connections, String reason) {
    for (Channel c : connections) {
      LOG.atDebug()
          .addKeyValue("peer", String.valueOf(c.remoteAddress()))
          .addKeyValue("reason", reason)
          .log("incoming connection closed");
      c.close();
    }
  }

  /** Closes connections whose frames do not end, and logs in one line how many were closed. */
  private void sweep(IncomingConnections incoming) {
    closeAll(incoming.expire(timers.nowMillis()), "unfinished frame");
    long closed = incoming.takeClosed();
    if (closed > 0) {
      LOG.atInfo()
          .addKeyValue("closed", closed)
          .addKeyValue("connections", incoming.size())
          .log("incoming connections over the limits");
    }
  }

  @Override
  public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {
    write(to, frame(type, channel, 0, payload));
  }

  @Override
  public CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
    long correlation = nextCorrelation.getAndIncrement();
    PendingRequest request = new PendingRequest(to, timers.nowMillis(), timeoutMillis);
    pendingRequests.put(correlation, request);
    request.timeout = timers.after(timeoutMillis, () -> onTimeout(correlation, request));
    request.ping = timers.after(timeoutMillis / 2, () -> pingIfSilent(to, request.sentAt));
    silences.computeIfAbsent(to, a -> new SilenceLimit()).requestSent(request.sentAt);
    ChannelFuture f = write(to, frame(type, channel, correlation, payload));
    f.addListener(
        done -> {
          if (!done.isSuccess()) {
            fail(correlation, String.valueOf(done.cause()));
          }
        });
    return request.answer;
  }

  /**
   * Fails a request, unless a frame that may be its answer is arriving: a repeated request would
   * transfer a large answer again from the start.
   */
  private void onTimeout(long correlation, PendingRequest request) {
    long now = timers.nowMillis();
    if (request.extensions < MAX_EXTENSIONS && isFrameArriving(request, now)) {
      request.extensions++;
      request.timeout = timers.after(request.timeoutMillis, () -> onTimeout(correlation, request));
      return;
    }
    fail(correlation, "timeout of " + request.timeoutMillis + " ms");
    closeIfSilent(request);
  }

  private boolean isFrameArriving(PendingRequest request, long now) {
    ChannelFuture f = outgoing.get(request.to);
    if (f == null) {
      return false;
    }
    long lastBytes = lastReceivedMillis(f, LAST_BYTES);
    return lastBytes >= now - request.timeoutMillis
        && lastReceivedMillis(f, LAST_FRAME) < request.sentAt;
  }

  private static long lastReceivedMillis(ChannelFuture f, AttributeKey<Long> key) {
    Long t = f.channel().attr(key).get();
    return t == null ? Long.MIN_VALUE : t;
  }

  /** Returns the number of payload bytes of all frames so far, including dropped ones. */
  public long sentBytes() {
    return sentBytes.get();
  }

  /** Returns the number of bytes received so far, including those of incomplete frames. */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  /** Closes all connections; the local address is free when this returns. */
  @Override
  public void close() {
    Channel l = listener;
    if (l != null && !l.eventLoop().inEventLoop()) {
      l.close().awaitUninterruptibly();
    }
    loops.shutdownGracefully();
  }

  private Frame frame(FrameType type, String channel, long correlation, byte[] payload) {
    HybridTimestamp t = clock.now();
    sentBytes.addAndGet(payload.length);
    return new Frame(type, node, channel, correlation, t.wallMillis(), t.counter(), payload);
  }

  private ChannelFuture write(InetSocketAddress to, Frame frame) {
    ChannelFuture connecting =
        outgoing.compute(to, (a, f) -> f == null || isBroken(f) ? connect(a) : f);
    if (connecting.isDone()) {
      return writeTo(connecting.channel(), frame);
    }
    ChannelPromise p = connecting.channel().newPromise();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connecting.channel().writeAndFlush(frame, p);
          } else {
            p.tryFailure(done.cause());
          }
        });
    return p;
  }

  /**
   * Pings a peer that has sent no frame on a connection since a request was sent: it may be busy
   * with the request or others while the connection is sound.
   */
  private void pingIfSilent(InetSocketAddress to, long sentAt) {
    ChannelFuture f = outgoing.get(to);
    if (f != null && isSilent(f, sentAt)) {
      writeTo(f.channel(), frame(FrameType.PING, "", 0, NO_PAYLOAD));
    }
  }

  private static boolean isSilent(ChannelFuture f, long sentAt) {
    return f.isDone() && lastReceivedMillis(f, LAST_FRAME) < sentAt;
  }

  /** Closes a connection that is silent for too long; the next frame opens a new one. */
  private void closeIfSilent(PendingRequest request) {
    ChannelFuture f = outgoing.get(request.to);
    SilenceLimit silence = silences.get(request.to);
    if (f != null
        && silence != null
        && isSilent(f, request.sentAt)
        && silence.expire(timers.nowMillis(), request.timeoutMillis)) {
      LOG.atInfo().addKeyValue("peer", request.to).log("silent connection closed");
      f.channel().close();
    }
  }

  private ChannelFuture writeTo(Channel c, Frame frame) {
    if (!c.isWritable()) {
      return c.newFailedFuture(new EbonypondException(ErrorCode.NO_QUORUM));
    }
    return c.writeAndFlush(frame);
  }

  private ChannelFuture connect(InetSocketAddress to) {
    ChannelFuture f =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(WRITE_BUFFER_BYTES / 2, WRITE_BUFFER_BYTES))
            .handler(initializer(null))
            .connect(to);
    f.addListener(
        done -> {
          SilenceLimit silence = silences.get(to);
          if (done.isSuccess() && silence != null) {
            silence.opened(timers.nowMillis());
          }
        });
    return f;
  }

  /** Returns whether a connection failed or closed; the next frame then opens a new one. */
  private static boolean isBroken(ChannelFuture f) {
    return f.isDone() && !(f.isSuccess() && f.channel().isActive());
  }

  /**
   * Returns the initializer of a connection.
   *
   * @param incoming the connections that others have opened; null for one to another process
   */
  private ChannelInitializer<SocketChannel> initializer(@Nullable IncomingConnections incoming) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel c) {
        if (incoming != null) {
          // After each read, the other connections have their turn.
          c.config()
              .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1));
          c.closeFuture().addListener(f -> incoming.remove(c));
          Channel closed = incoming.add(c, timers.nowMillis());
          closeAll(closed == null ? List.of() : List.of(closed), "too many connections");
        }
        c.pipeline()
            .addLast(new ByteCounter())
            .addLast(new FrameSplitter(bytes -> onUnfinished(incoming, c, bytes)))
            .addLast(new LengthFieldPrepender(FrameSplitter.LENGTH_BYTES))
            .addLast(new FrameCodec())
            .addLast(new Receiver(incoming));
      }
    };
  }

  private void onUnfinished(@Nullable IncomingConnections incoming, Channel c, int bytes) {
    if (incoming != null) {
      closeAll(incoming.unfinished(c, bytes, timers.nowMillis()), "memory of unfinished frames");
    }
  }

  private void fail(long correlation, String reason) {
    PendingRequest request = pendingRequests.remove(correlation);
    if (request != null) {
      request.cancelTimers();
      request.answer.completeExceptionally(
          new EbonypondException(new RuntimeException(reason), ErrorCode.NO_QUORUM));
    }
  }

  private void onFrame(Channel c, Frame f) {
    clock.observe(new HybridTimestamp(f.wallMillis(), f.counter()));
    if (f.type() == FrameType.ANSWER || f.type() == FrameType.FAILURE) {
      onAnswer(f);
      return;
    }
    if (f.type() == FrameType.PING) {
      c.writeAndFlush(frame(FrameType.ANSWER, "", 0, NO_PAYLOAD));
      return;
    }
    FrameHandler h = handlers.get(f.type());
    CompletableFuture<byte[]> result =
        h == null
            ? CompletableFuture.failedFuture(
                new EbonypondException(ErrorCode.FRAME_INVALID, "no handler for " + f.type()))
            : h.handle(f);
    if (f.correlation() == 0) {
      return;
    }
    result.whenComplete(
        (payload, failure) -> {
          FrameType type = failure == null ? FrameType.ANSWER : FrameType.FAILURE;
          byte[] body =
              failure == null
                  ? payload
                  : String.valueOf(failure.getMessage()).getBytes(StandardCharsets.UTF_8);
          c.writeAndFlush(frame(type, f.channel(), f.correlation(), body));
        });
  }

  private void onAnswer(Frame f) {
    if (f.type() == FrameType.FAILURE) {
      fail(f.correlation(), new String(f.payload(), StandardCharsets.UTF_8));
      return;
    }
    PendingRequest request = pendingRequests.remove(f.correlation());
    if (request != null) {
      request.cancelTimers();
      request.answer.complete(f.payload());
    }
  }

  private static final class PendingRequest {
    final CompletableFuture<byte[]> answer = new CompletableFuture<>();
    final InetSocketAddress to;
    final long sentAt;
    final long timeoutMillis;
    private TimerService.@Nullable Subscription timeout;
    private TimerService.@Nullable Subscription ping;
    private int extensions;

    PendingRequest(InetSocketAddress to, long sentAt, long timeoutMillis) {
      this.to = to;
      this.sentAt = sentAt;
      this.timeoutMillis = timeoutMillis;
    }

    void cancelTimers() {
      cancel(timeout);
      cancel(ping);
    }

    private static void cancel(TimerService.@Nullable Subscription s) {
      if (s != null) {
        s.cancel();
      }
    }
  }

  private final class ByteCounter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof ByteBuf b) {
        receivedBytes.addAndGet(b.readableBytes());
        ctx.channel().attr(LAST_BYTES).set(timers.nowMillis());
      }
      ctx.fireChannelRead(message);
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<Frame> {
    private final @Nullable IncomingConnections incoming;

    Receiver(@Nullable IncomingConnections incoming) {
      this.incoming = incoming;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
      long now = timers.nowMillis();
      if (incoming != null) {
        incoming.frameArrived(ctx.channel(), now);
      }
      ctx.channel().attr(LAST_FRAME).set(now);
      SilenceLimit silence = silences.get(ctx.channel().remoteAddress());
      if (silence != null) {
        silence.frameArrived(now);
      }
      try {
        onFrame(ctx.channel(), f);
      } catch (RuntimeException e) {
        LOG.atError()
            .addKeyValue("type", f.type())
            .addKeyValue("peer", f.from())
            .setCause(e)
            .log("frame could not be handled");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      boolean undecodable = cause instanceof CodecException;
      LOG.atLevel(undecodable ? Level.WARN : Level.DEBUG)
          .addKeyValue("peer", String.valueOf(ctx.channel().remoteAddress()))
          .setCause(cause)
          .log(undecodable ? "frame cannot be decoded" : "connection closed");
      ctx.close();
    }
  }
}
