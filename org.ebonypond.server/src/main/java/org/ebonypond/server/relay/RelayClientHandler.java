package org.ebonypond.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The end of a relayed connection at the entry that uses it. To the handlers after it the
 * connection becomes active when the other entry has reached the instance, and ends as that of the
 * instance does; the end of the other entry is always a failure.
 */
public final class RelayClientHandler extends ByteToMessageDecoder {
  /**
   * The time for the answer of the other entry, in milliseconds: its timeout for a connection to
   * the instance and the way between two availability zones.
   */
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

  private final String instance;
  private final TimerService timers;
  private final RelayObserver observer;
  private final Runnable onRetire;
  private TimerService.@Nullable Subscription timeout;
  private boolean answered;
  private boolean connected;
  private boolean ended;

  /**
   * Creates the handler of one connection.
   *
   * @param instance the identifier of the instance
   * @param timers schedules the timeout of the other entry's answer
   * @param observer learns how the other entry does
   * @param onRetire called when the other entry asks for no further request on the connection
   */
  public RelayClientHandler(
      String instance, TimerService timers, RelayObserver observer, Runnable onRetire) {
    this.instance = instance;
    this.timers = timers;
    this.observer = observer;
    this.onRetire = onRetire;
  }

  /** Reports that no connection to the other entry was established. */
  public void connectFailed() {
    answer(RelayStatus.NO_ANSWER);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(RelayFrames.request(ctx.alloc(), instance));
    timeout = timers.after(ANSWER_TIMEOUT_MILLIS, () -> refused(ctx, RelayStatus.NO_ANSWER));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (!connected) {
      RelayStatus s = RelayStatus.ofCode(in.readByte());
      // A connection that was reported as failed must not carry a request any more.
      if (s != RelayStatus.CONNECTED || answered) {
        in.skipBytes(in.readableBytes());
        refused(ctx, s == null ? RelayStatus.NO_ANSWER : s);
        return;
      }
      connected = true;
      answer(s);
      ctx.fireChannelActive();
      return;
    }
    if (in.readableBytes() < RelayFrames.LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length > RelayFrames.MAX_LENGTH || length < RelayFrames.RETIRE) {
      broken(ctx, new RelayLostException("a frame of " + length + " bytes"));
      return;
    }
    if (in.readableBytes() < RelayFrames.LENGTH_BYTES + Math.max(0, length)) {
      return;
    }
    in.skipBytes(RelayFrames.LENGTH_BYTES);
    switch (length) {
      case RelayFrames.END -> {
        ended = true;
        ctx.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
      case RelayFrames.BROKEN -> {
        ended = true;
        broken(ctx, new IOException("connection to the instance broken"));
      }
      case RelayFrames.RETIRE -> onRetire.run();
      default -> out.add(in.readRetainedSlice(length));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      // The other entry has ended, which is no end of the instance's answer.
      broken(ctx, new RelayLostException("relayed connection closed"));
      return;
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
    relayEnded();
    super.exceptionCaught(ctx, new RelayLostException(String.valueOf(cause.getMessage())));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    answer(RelayStatus.NO_ANSWER);
    super.channelInactive(ctx);
  }

  private void refused(ChannelHandlerContext ctx, RelayStatus s) {
    if (answer(s)) {
      ctx.close();
    }
  }

  private void broken(ChannelHandlerContext ctx, IOException reason) {
    relayEnded();
    ctx.fireExceptionCaught(reason);
    ctx.close();
  }

  /** Reports the end of the connection to the other entry unless that of the instance caused it. */
  private void relayEnded() {
    if (!answer(RelayStatus.NO_ANSWER) && !ended) {
      ended = true;
      observer.lost();
    }
  }

  /** Reports the answer of the other entry; returns whether it is the first one. */
  private boolean answer(RelayStatus s) {
    if (answered) {
      return false;
    }
    answered = true;
    TimerService.Subscription t = timeout;
    if (t != null) {
      t.cancel();
    }
    observer.answered(s);
    return true;
  }
}
