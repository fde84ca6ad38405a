package org.ebonypond.server.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
  // Frames to a peer that reads slowly are dropped above this mark instead of filling the heap.
  private static final int WRITE_BUFFER_BYTES = 32 << 20;
  private static final AttributeKey<Long> LAST_READ = AttributeKey.valueOf("ebonypond.lastRead");

  private final String node;
  private final HybridClock clock;
  private final TimerService timers;
  private final Map<FrameType, FrameHandler> handlers = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final Map<Long, Question> questions = new ConcurrentHashMap<>();
  private final AtomicLong nextCorrelation = new AtomicLong(1);
  private final AtomicLong sentBytes = new AtomicLong();
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
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    long askedAt = timers.nowMillis();
    TimerService.Subscription timeout =
        timers.after(
            timeoutMillis,
            () -> {
              fail(id, "timeout of " + timeoutMillis + " ms");
              closeIfSilent(to, askedAt);
            });
    questions.put(id, new Question(answer, timeout));
    ChannelFuture f = write(to, frame(type, channel, id, payload));
    f.addListener(
        done -> {
          if (!done.isSuccess()) {
            fail(id, String.valueOf(done.cause()));
          }
        });
    return answer;
  }

  /** Returns the number of payload bytes sent so far. */
  public long sentBytes() {
    return sentBytes.get();
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
    Long lastRead = f.channel().attr(LAST_READ).get();
    if (f.isDone() && (lastRead == null || lastRead < askedAt)) {
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
      q.timeout.cancel();
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
      q.timeout.cancel();
      q.answer.complete(f.payload());
    }
  }

  private record Question(CompletableFuture<byte[]> answer, TimerService.Subscription timeout) {}

  private final class Receiver extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
      ctx.channel().attr(LAST_READ).set(timers.nowMillis());
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
