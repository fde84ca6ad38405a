package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import org.ebonypond.server.relay.RelayLostException;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/** A connection to a backend server that carries at most one request at a time. */
final class BackendConnection extends ChannelInboundHandlerAdapter {
  private static final String TIMEOUT = "timeout=";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

  private final BackendPool pool;
  private final String key;
  private final TimerService timers;
  private final UnsolicitedByteLimiter unsolicited = new UnsolicitedByteLimiter();
  private final EndOfInput endOfInput = new EndOfInput();
  private @Nullable ChannelHandlerContext context;
  private @Nullable Exchange current;
  private @Nullable Exchange answered;
  private int requests;
  private boolean idle;
  private boolean broken;
  private boolean retired;
  private long idleSince;
  private long idleTimeoutMillis;

  /**
   * Creates a connection for a first request.
   *
   * @param key the key of this connection in the pool
   */
  BackendConnection(BackendPool pool, String key, TimerService timers) {
    this.pool = pool;
    this.key = key;
    this.timers = timers;
  }

  /** Returns the handler that precedes the HTTP codec in this connection's pipeline. */
  UnsolicitedByteLimiter unsolicitedByteLimiter() {
    return unsolicited;
  }

  /** Returns the handler that records the end of this connection's input, before the codec. */
  EndOfInput endOfInput() {
    return endOfInput;
  }

  /** Returns whether the request in progress asks for the head of an answer only. */
  boolean isHeadRequested() {
    Exchange x = current;
    return x != null && x.head.method().equals(HttpMethod.HEAD);
  }

  BackendExchange send(HttpRequest head, ByteBuf body, BackendListener listener) {
    Exchange x = new Exchange(head, body, listener, requests == 0);
    requests++;
    current = x;
    idle = false;
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      x.write(ctx);
    }
    return x;
  }

  boolean isUsable(long now, long maxIdleMillis) {
    ChannelHandlerContext ctx = context;
    return idle
        && !broken
        && ctx != null
        && ctx.channel().isActive()
        && now - idleSince < Math.min(idleTimeoutMillis, maxIdleMillis);
  }

  void close() {
    broken = true;
    ChannelHandlerContext ctx = context;
    if (ctx != null) {
      ctx.close();
    }
  }

  /** Sends no request on this connection after the current one. */
  void retire() {
    retired = true;
    if (idle) {
      pool.remove(key, this);
      close();
    }
  }

  void connectFailed(String reason) {
    Exchange x = current;
    current = null;
    if (x != null) {
      x.fail(false, "connect: " + reason);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    Exchange x = current;
    if (x == null || x.cancelled) {
      ctx.close();
    } else {
      x.write(ctx);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      Exchange x = current;
      if (x == null || broken) {
        // The backend server sent data that belongs to no request.
        pool.remove(key, this);
        close();
        return;
      }
      x.read(message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    endAnswered();
    ctx.fireChannelReadComplete();
  }

  /**
   * Ends an exchange whose answer is complete. This waits for the end of the read: bytes behind the
   * answer make the connection unusable for the next request.
   */
  private void endAnswered() {
    Exchange x = answered;
    answered = null;
    if (x != null) {
      x.end();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      // An answer that ended with the input has been completed by the codec.
      endAnswered();
      ctx.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken = true;
    endAnswered();
    pool.remove(key, this);
    Exchange x = current;
    current = null;
    if (x != null) {
      x.fail(x.written, "connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken = true;
    endAnswered();
    pool.remove(key, this);
    Exchange x = current;
    current = null;
    if (x != null) {
      if (cause instanceof RelayLostException) {
        x.relayLost();
      }
      x.fail(x.written, String.valueOf(cause.getMessage()));
    }
    ctx.close();
  }

  private final class Exchange implements BackendExchange {
    private final HttpRequest head;
    private final ByteBuf body;
    private final BackendListener listener;
    private final boolean first;
    private boolean cancelled;
    private boolean written;
    private boolean ended;
    private boolean accepted;
    private boolean keepAlive;
    private boolean receivedForeignAnswer;
    private boolean interim;
    private @Nullable ChannelFuture writeFuture;

    Exchange(HttpRequest head, ByteBuf body, BackendListener listener, boolean first) {
      this.first = first;
      this.head = head;
      this.body = body;
      this.listener = listener;
    }

    void write(ChannelHandlerContext ctx) {
      written = true;
      writeFuture =
          ctx.writeAndFlush(
              new DefaultFullHttpRequest(
                  HttpVersion.HTTP_1_1,
                  head.method(),
                  head.uri(),
                  body,
                  head.headers(),
                  EmptyHttpHeaders.INSTANCE));
    }

    void read(Object message) {
      if (message instanceof HttpResponse r) {
        if (r.decoderResult().isFailure()) {
          malformed("malformed answer: " + r.decoderResult().cause().getMessage());
          return;
        }
        if (isJoined(r)) {
          malformed("malformed answer: the status line of another one");
          return;
        }
        interim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (!interim) {
          readHead(r);
        }
      }
      if (message instanceof HttpContent c && !ended) {
        if (c.decoderResult().isFailure()) {
          malformed("malformed answer: " + c.decoderResult().cause().getMessage());
          return;
        }
        readContent(c);
      }
    }

    /**
     * Returns whether a head contains the status line of another one: it broke off, and the next
     * answer on the connection continues it.
     */
    private static boolean isJoined(HttpResponse r) {
      if (containsStatusLine(r.status().reasonPhrase())) {
        return true;
      }
      for (Map.Entry<String, String> h : r.headers()) {
        if (containsStatusLine(h.getValue())) {
          return true;
        }
      }
      return false;
    }

    private static boolean containsStatusLine(String text) {
      // Few texts contain the prefix, and finding it is cheaper than matching the pattern.
      return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }

    private void readHead(HttpResponse r) {
      accepted = listener.head(r);
      if (accepted) {
        unsolicited.reset();
      } else {
        receivedForeignAnswer = true;
      }
      boolean framed = HttpUtil.isContentLengthSet(r) || HttpUtil.isTransferEncodingChunked(r);
      keepAlive = HttpUtil.isKeepAlive(head) && HttpUtil.isKeepAlive(r) && framed;
      idleTimeoutMillis = BackendPool.idleTimeoutMillis(keepAliveTimeoutMillis(r));
    }

    private void readContent(HttpContent c) {
      if (interim) {
        return;
      }
      if (accepted && !ended && c.content().isReadable()) {
        unsolicited.reset();
        listener.content(c.content());
      }
      if (c instanceof LastHttpContent && accepted && !ended && !broken && isWhole()) {
        finish();
      }
    }

    /**
     * Returns whether the end of an answer is that of the whole answer. If the connection ends it,
     * the backend server must have closed its direction in order, after it received the request: a
     * process that ends looks the same until more of the request reaches its machine.
     */
    private boolean isWhole() {
      ChannelHandlerContext ctx = context;
      boolean connected = ctx != null && ctx.channel().isActive();
      return connected && (!endOfInput.isReached() || isRequestWritten());
    }

    private boolean isRequestWritten() {
      ChannelFuture f = writeFuture;
      return f != null && f.isSuccess();
    }

    private void finish() {
      ended = true;
      current = null;
      answered = this;
      ChannelHandlerContext ctx = context;
      if (ctx != null) {
        // The end of the answer may have been read together with the part that paused reading.
        ctx.channel().config().setAutoRead(true);
      }
    }

    private void end() {
      // The connection is in an unknown state if the request body is not fully written or an answer
      // to another request was received.
      boolean reusable =
          keepAlive && isRequestWritten() && !receivedForeignAnswer && !broken && !retired;
      if (reusable) {
        idle = true;
        idleSince = timers.nowMillis();
        pool.release(key, BackendConnection.this);
      } else {
        close();
      }
      listener.end();
    }

    private void malformed(String reason) {
      broken = true;
      current = null;
      fail(true, reason);
      close();
    }

    void relayLost() {
      if (!cancelled && !ended) {
        listener.relayLost();
      }
    }

    void fail(boolean sent, String reason) {
      if (!written && body.refCnt() > 0) {
        body.release();
      }
      if (!cancelled && !ended) {
        ended = true;
        listener.failed(sent, reason);
      }
    }

    @Override
    public void cancel() {
      if (ended || cancelled) {
        return;
      }
      cancelled = true;
      broken = true;
      if (context != null) {
        close();
      }
    }

    @Override
    public boolean isFirstOnConnection() {
      return first && !receivedForeignAnswer;
    }

    @Override
    public void setReading(boolean on) {
      ChannelHandlerContext ctx = context;
      if (ctx != null && !ended && !cancelled) {
        ctx.channel().config().setAutoRead(on);
      }
    }

    private static long keepAliveTimeoutMillis(HttpResponse r) {
      String v = r.headers().get("Keep-Alive");
      if (v == null) {
        return 0;
      }
      String lower = v.toLowerCase(Locale.ROOT);
      int i = lower.indexOf(TIMEOUT);
      int end = i + TIMEOUT.length();
      int from = end;
      while (i >= 0 && end < lower.length() && Character.isDigit(lower.charAt(end))) {
        end++;
      }
      return i < 0 || end == from || end - from > 6
          ? 0
          : Long.parseLong(lower.substring(from, end)) * 1_000;
    }
  }
}
