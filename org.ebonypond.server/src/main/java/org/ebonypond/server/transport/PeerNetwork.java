package org.ebonypond.server.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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

/**
 * The TCP connections to the other processes: one outgoing connection for each address, opened on
 * first use. Frames to an address that cannot be reached are dropped; questions then fail.
 */
public final class PeerNetwork implements Peers, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerNetwork.class);
  private static final int MAX_FRAME_BYTES = 16 << 20;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** The timeouts for which an answer may go on arriving after the first. */
  private static final int MAX_EXTENSIONS = 9;

  // Frames to a peer that reads slowly are dropped above this mark instead of filling the heap.
  private static final int WRITE_BUFFER_BYTES = 32 << 20;
  private static final AttributeKey<Long> LAST_FRAME = AttributeKey.valueOf("ebonypond.lastFrame");
  private static final AttributeKey<Long> LAST_BYTES = AttributeKey.valueOf("ebonypond.lastBytes");

  private final String node;
  private final HybridClock clock;
  private final TimerService timers;
  private final Map<FrameType, FrameHandler> handlers = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final Map<Long, Question> questions = new ConcurrentHashMap<>();
  private final AtomicLong nextCorrelation = new AtomicLong(1);
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final EventLoopGroup loops;

  /**
   * Creates the network without any connection.
   *
   * @param node the name of this process
   * @param clock carries timestamps between processes so that effects follow their causes
   * @param timers times out questions
   */
  public PeerNetwork(String node, HybridClock clock, TimerService timers) {
    this(node, clock, timers, new NioEventLoopGroup(2, new DefaultThreadFactory("peer-io", true)));
  }

  /**
   * Creates the network without any connection, on event loops that {@link #close} shuts down.
   *
   * @param loops carries the connections and calls the handlers
   */
  public PeerNetwork(String node, HybridClock clock, TimerService timers, EventLoopGroup loops) {
    this.node = node;
    this.clock = clock;
    this.timers = timers;
    this.loops = loops;
  }

  /** Sets the handler of a kind of frame; call before {@link #listen}. */
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
    TcpListener.bind(loops, address, initializer(), "peer");
  }

  @Override
  public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {
    write(to, frame(type, channel, 0, payload));
  }

  @Override
  public CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
    long id = nextCorrelation.getAndIncrement();
    Question q = new Question(to, timers.nowMillis(), timeoutMillis);
    questions.put(id, q);
    q.timeout = timers.after(timeoutMillis, () -> timedOut(id, q));
    ChannelFuture f = write(to, frame(type, channel, id, payload));
    f.addListener(
        done -> {
          if (!done.isSuccess()) {
            fail(id, String.valueOf(done.cause()));
          }
        });
    return q.answer;
  }

  /**
   * Fails a question, unless a frame that may be its answer is arriving: a large answer takes its
   * time, and would take it again if it was asked for anew.
   */
  private void timedOut(long id, Question q) {
    long now = timers.nowMillis();
    if (q.extensions < MAX_EXTENSIONS && isFrameArriving(q, now)) {
      q.extensions++;
      q.timeout = timers.after(q.timeoutMillis, () -> timedOut(id, q));
      return;
    }
    fail(id, "timeout of " + q.timeoutMillis + " ms");
    closeIfSilent(q.to, q.askedAt);
  }

  private boolean isFrameArriving(Question q, long now) {
    ChannelFuture f = outgoing.get(q.to);
    if (f == null) {
      return false;
    }
    long bytes = time(f, LAST_BYTES);
    return bytes >= now - q.timeoutMillis && time(f, LAST_FRAME) < q.askedAt;
  }

  private static long time(ChannelFuture f, AttributeKey<Long> key) {
    Long t = f.channel().attr(key).get();
    return t == null ? Long.MIN_VALUE : t;
  }

  /** Returns the number of payload bytes sent so far. */
  public long sentBytes() {
    return sentBytes.get();
  }

  /** Returns the number of bytes received so far, frames that are not whole yet included. */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  @Override
  public void close() {
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
   * Closes a connection that brought nothing since a question was sent on it. The next frame opens
   * a new one: a connection can go silent for good, without a reset, while new ones work.
   */
  private void closeIfSilent(InetSocketAddress to, long askedAt) {
    ChannelFuture f = outgoing.get(to);
    if (f == null) {
      return;
    }
    if (f.isDone() && time(f, LAST_FRAME) < askedAt) {
      LOG.atInfo().addKeyValue("peer", to).log("silent connection closed");
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
            .handler(initializer())
            .connect(to);
    return f;
  }

  /** A failed or closed connection is replaced when the next frame is sent. */
  private static boolean isBroken(ChannelFuture f) {
    return f.isDone() && !(f.isSuccess() && f.channel().isActive());
  }

  private ChannelInitializer<SocketChannel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel c) {
        c.pipeline()
            .addLast(new ByteCounter())
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new FrameCodec())
            .addLast(new Receiver());
      }
    };
  }

  private void fail(long id, String reason) {
    Question q = questions.remove(id);
    if (q != null) {
      q.cancelTimeout();
      q.answer.completeExceptionally(
          new EbonypondException(new RuntimeException(reason), ErrorCode.NO_QUORUM));
    }
  }

  private void received(Channel c, Frame f) {
    clock.observe(new HybridTimestamp(f.wallMillis(), f.counter()));
    if (f.type() == FrameType.ANSWER || f.type() == FrameType.FAILURE) {
      answered(f);
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

  private void answered(Frame f) {
    if (f.type() == FrameType.FAILURE) {
      fail(f.correlation(), new String(f.payload(), StandardCharsets.UTF_8));
      return;
    }
    Question q = questions.remove(f.correlation());
    if (q != null) {
      q.cancelTimeout();
      q.answer.complete(f.payload());
    }
  }

  private static final class Question {
    final CompletableFuture<byte[]> answer = new CompletableFuture<>();
    final InetSocketAddress to;
    final long askedAt;
    final long timeoutMillis;
    private TimerService.@Nullable Subscription timeout;
    private int extensions;

    Question(InetSocketAddress to, long askedAt, long timeoutMillis) {
      this.to = to;
      this.askedAt = askedAt;
      this.timeoutMillis = timeoutMillis;
    }

    void cancelTimeout() {
      TimerService.Subscription t = timeout;
      if (t != null) {
        t.cancel();
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
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
      ctx.channel().attr(LAST_FRAME).set(timers.nowMillis());
      try {
        received(ctx.channel(), f);
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
      LOG.atDebug()
          .addKeyValue("peer", String.valueOf(ctx.channel().remoteAddress()))
          .setCause(cause)
          .log("connection closed");
      ctx.close();
    }
  }
}
