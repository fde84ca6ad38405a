package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection of a caller. Requests are buffered completely and answered one at a time, in the
 * order of their arrival.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter implements RequestDecoder.Gate {
  private static final Logger LOG = LoggerFactory.getLogger(HttpConnection.class);

  /** Number of pipelined requests that may wait before reading from the caller pauses. */
  private static final int MAX_PIPELINED = 8;

  /** The colon and the space between the name and the value of a header. */
  private static final int HEADER_SEPARATOR_BYTES = 2;

  /**
   * The heap that a decoded field takes, its copy for the backend server included, in bytes: two
   * entries of a table, the name, the value and their arrays.
   */
  private static final int FIELD_BYTES = 256;

  /** A head of which more is decoded at once takes memory from ordinary requests, in bytes. */
  private static final int LARGE_HEAD_BYTES = 64 << 10;

  /** A decoder keeps a buffer as long as the longest line; shorter ones are not counted. */
  private static final int COUNTED_LINE_BYTES = 1 << 10;

  /** A head may be larger than its fields: by its request line and the separators of fields. */
  private static final int MAX_HEAD_FACTOR = 2;

  /** The rate at which the body of a request must arrive on average, in bytes per second. */
  private static final int MIN_BODY_RATE = 1_000;

  /** How long a request may make no progress while others need its memory, in milliseconds. */
  private static final long SLOW_MILLIS = 1_000;

  /** Retry-After of a request over limits that may have been replaced; several polls. */
  private static final int RETRY_AFTER_SECONDS = 1;

  /**
   * How long a caller may go on sending after the end of the answers, in milliseconds; a body of
   * the default limit takes less at 100 Mbit/s.
   */
  private static final long LINGER_MILLIS = 1_000;

  private final SocketChannel channel;
  private final HttpService service;
  private final LimitSource limits;
  private final int maxLineBytes;
  private final CallerConnections connections;
  private final RequestDecoder decoder;
  private final TimerService timers;
  private final BooleanSupplier draining;
  private final BooleanSupplier crowded;
  private final Deque<Exchange> waiting = new ArrayDeque<>();
  private @Nullable Exchange current;
  private @Nullable HttpRequest head;
  private @Nullable ByteBuf body;

  /** Memory for bodies that is reserved for the body being received, in bytes. */
  private long reservedBytes;

  /** Memory for heads that is reserved for the request being received, in bytes. */
  private long headBytes;

  /** Memory for heads that is reserved for the decoder's buffer of a line, in bytes. */
  private long lineBytes;

  /** Memory for bodies that is reserved for input which is not decoded yet, in bytes. */
  private long inputBytes;

  /** Memory for answers that is taken by those which the socket has not taken, in bytes. */
  private long answerBytes;

  /** Bytes of the body that is dropped. */
  private long droppedBytes;

  /** When the caller last read a part of its answers, in milliseconds. */
  private long lastRead;

  /** When the first bytes of the request arrived that is being received, in milliseconds. */
  private long receivingSince;

  private boolean receiving;

  /** Whether the head that was admitted last is large. */
  private boolean admittedLarge;

  /** Whether the rest of a request that was refused for lack of memory is read and dropped. */
  private boolean dropping;

  /** Whether the connection closes then; its answer would be lost before. */
  private boolean closesAfterDropping;

  private boolean refused;

  /** Whether the connection ends after the answers that are due. */
  private boolean endsAfterAnswers;

  /** Whether the connection ends after what is written, and further input is dropped. */
  private boolean ending;

  /** The answer to a malformed request behind pipelined ones, or null if there is none. */
  private @Nullable HttpResponseStatus pendingRefusal;

  /** When bytes last arrived or the caller was last seen to read, in milliseconds. */
  private long lastActive;

  private long lastUnwritten;

  /** When the last answer was written to the socket, in milliseconds. */
  private long answeredAt;

  /**
   * Creates a connection.
   *
   * @param limits supplies the limits in force, which may change while the connection is open
   * @param maxLineBytes the limit of this connection's decoder, which does not change
   * @param connections all connections of the process
   * @param draining returns whether the process stops
   * @param crowded returns whether other callers find no place
   */
  HttpConnection(
      SocketChannel channel,
      HttpService service,
      LimitSource limits,
      int maxLineBytes,
      CallerConnections connections,
      TimerService timers,
      BooleanSupplier draining,
      BooleanSupplier crowded) {
    this.channel = channel;
    this.service = service;
    this.limits = limits;
    this.maxLineBytes = maxLineBytes;
    this.connections = connections;
    this.decoder = new RequestDecoder(maxLineBytes, this);
    this.timers = timers;
    this.draining = draining;
    this.crowded = crowded;
    this.lastActive = timers.nowMillis();
    this.answeredAt = lastActive - LINGER_MILLIS;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    lastActive = timers.nowMillis();
    try {
      if (refused || ending) {
        return;
      }
      if (message instanceof HttpRequest r) {
        beginRequest(r);
      }
      if (message instanceof HttpContent c && !refused) {
        appendBody(c);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Returns the decoder that precedes this handler in the pipeline. */
  RequestDecoder decoder() {
    return decoder;
  }

  @Override
  public int maxHeadBytes() {
    return (int) Math.min(maxLineBytes, (long) MAX_HEAD_FACTOR * limits.limits().maxHeaderBytes());
  }

  @Override
  public Decision admit(HeadScanner s) {
    long size = (long) s.lines() * FIELD_BYTES + s.bytes();
    boolean large = size > LARGE_HEAD_BYTES;
    // The answers to small requests take more memory than their bytes while they wait.
    boolean unread = unwrittenBytes() > 0;
    if (unread || waiting.size() >= MAX_PIPELINED || (large && isAnswering())) {
      return Decision.WAIT;
    }
    if (large && !connections.mayDecodeLargeHead(decoder)) {
      return Decision.WAIT;
    }
    admittedLarge = large;
    MemoryPool heads = connections.heads();
    long line = s.longestLine() > COUNTED_LINE_BYTES ? s.longestLine() : 0;
    long grown = Math.max(0, line - lineBytes);
    // Ordinary requests find room beside large ones.
    long limit = large ? heads.maxBytes() / 2 : heads.maxBytes();
    if (!heads.reserve(size + grown, limit)) {
      return Decision.REFUSE;
    }
    headBytes += size;
    lineBytes += grown;
    return Decision.ADMIT;
  }

  @Override
  public void decoded(long nanos) {
    if (admittedLarge) {
      connections.largeHeadDecoded(nanos);
    }
  }

  @Override
  public void inputChanged() {
    if (!receiving && (decoder.isInHead() || isReceivingBody())) {
      receivingSince = timers.nowMillis();
    }
    receiving = decoder.isInHead() || isReceivingBody();
    long bytes = decoder.bufferedBytes();
    if (bytes <= inputBytes) {
      connections.bodies().release(inputBytes - bytes);
      inputBytes = bytes;
    } else if (connections.reserveBody(bytes - inputBytes, timers.nowMillis())) {
      inputBytes = bytes;
    } else if (!refused && !ending) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
    updateReading();
  }

  /** Reads from the socket unless what was read already has to wait. */
  private void updateReading() {
    boolean reads = ending || !(decoder.isPaused() || waiting.size() >= MAX_PIPELINED);
    if (channel.config().isAutoRead() != reads) {
      channel.config().setAutoRead(reads);
    }
  }

  private void beginRequest(HttpRequest r) {
    Throwable failure = r.decoderResult().cause();
    if (failure != null) {
      refuseUndecoded(failure);
      return;
    }
    if (headerBytes(r) > limits.limits().maxHeaderBytes()) {
      refuseTooLarge(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, limits.areFinal());
      return;
    }
    boolean conflictingLengths =
        r.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1
            || (r.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING));
    if (conflictingLengths) {
      // Request smuggling: a second length could hide another request inside the body.
      refuseMalformed("conflicting lengths");
      return;
    }
    if (r.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      refuseMalformed("more than one host");
      return;
    }
    if (HttpUtil.getContentLength(r, 0L) > limits.limits().maxBodyBytes()) {
      refuseTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, limits.areFinal());
      return;
    }
    int length = (int) Math.min(Integer.MAX_VALUE, HttpUtil.getContentLength(r, 0L));
    if (!reserve(length)) {
      refuseForLackOfMemory(r);
      return;
    }
    if (HttpUtil.is100ContinueExpected(r)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = r;
    // A buffer that grows would take up to three times as much.
    body = channel.alloc().buffer(length);
  }

  private boolean reserve(long bytes) {
    boolean reserved = connections.reserveBody(bytes, timers.nowMillis());
    reservedBytes += reserved ? bytes : 0;
    return reserved;
  }

  /** Answers a request at once and drops what follows of it, so that its caller gets the answer. */
  private void refuseForLackOfMemory(HttpRequest r) {
    LOG.atInfo()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .addKeyValue("status", HttpResponseStatus.SERVICE_UNAVAILABLE.code())
        .addKeyValue("bytes", HttpUtil.getContentLength(r, -1L))
        .log("no memory for the body of a request");
    final long decodedBytes = headBytes;
    headBytes = 0;
    releasePartial();
    // A caller that waits for leave to send a body need not send one.
    dropping = !HttpUtil.is100ContinueExpected(r);
    droppedBytes = 0;
    waiting.addLast(new Exchange(r, Unpooled.EMPTY_BUFFER, 0, decodedBytes, true));
    handleNext();
  }

  /** Drops a part of a refused request; the last one ends the connection if its answer said so. */
  private void drop(HttpContent c) {
    dropping = !(c instanceof LastHttpContent);
    droppedBytes += c.content().readableBytes();
    boolean endless = droppedBytes > limits.limits().maxBodyBytes() && !isAnswering();
    if (!dropping) {
      receiving = false;
    }
    if (endless || (!dropping && closesAfterDropping)) {
      endOutput();
    }
  }

  private void appendBody(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      refuseUndecoded(c.decoderResult().cause());
      return;
    }
    if (dropping) {
      drop(c);
      return;
    }
    HttpRequest r = head;
    ByteBuf b = body;
    if (r == null || b == null) {
      return;
    }
    if (b.readableBytes() + c.content().readableBytes() > limits.limits().maxBodyBytes()) {
      refuseTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, limits.areFinal());
      return;
    }
    int size = b.readableBytes() + c.content().readableBytes();
    if (size > b.capacity()) {
      int capacity = channel.alloc().calculateNewCapacity(size, Integer.MAX_VALUE);
      if (!reserve(capacity - reservedBytes)) {
        refuseForLackOfMemory(r);
        drop(c);
        return;
      }
    }
    b.writeBytes(c.content());
    if (c instanceof LastHttpContent) {
      head = null;
      body = null;
      receiving = false;
      waiting.addLast(new Exchange(r, b, reservedBytes, headBytes, false));
      reservedBytes = 0;
      headBytes = 0;
      updateReading();
      handleNext();
    }
  }

  private void handleNext() {
    if (current != null) {
      return;
    }
    Exchange e = waiting.pollFirst();
    decoder.resume();
    updateReading();
    if (e == null) {
      return;
    }
    current = e;
    if (e.lacksMemory) {
      e.answerUnavailable();
      return;
    }
    try {
      service.handle(e);
    } catch (RuntimeException x) {
      LOG.atError().addKeyValue("peer", e.peer()).setCause(x).log("request could not be handled");
      e.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "text/plain", "internal error");
    }
  }

  /**
   * Returns the size of the header lines; the limit may have changed since the connection opened.
   */
  private static long headerBytes(HttpRequest r) {
    long size = 0;
    for (Map.Entry<String, String> h : r.headers()) {
      size += h.getKey().length() + HEADER_SEPARATOR_BYTES + h.getValue().length();
    }
    return size;
  }

  private void refuseUndecoded(Throwable failure) {
    if (failure instanceof RequestDecoder.NoMemoryException) {
      LOG.atInfo()
          .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
          .addKeyValue("status", HttpResponseStatus.SERVICE_UNAVAILABLE.code())
          .log("no memory for the head of a request");
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
    } else if (failure instanceof TooLongFrameException) {
      // If the limit was raised since, a new connection accepts the request.
      boolean raised = maxLineBytes < limits.limits().maxHeaderBytes();
      refuseTooLarge(
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, !raised && limits.areFinal());
    } else {
      refuseMalformed(String.valueOf(failure.getMessage()));
    }
  }

  private void refuseMalformed(String reason) {
    LOG.atInfo()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .addKeyValue("status", HttpResponseStatus.BAD_REQUEST.code())
        .addKeyValue("reason", reason)
        .log("malformed request");
    refuse(HttpResponseStatus.BAD_REQUEST);
  }

  private void refuseTooLarge(HttpResponseStatus status, boolean isFinal) {
    ClientLimits l = limits.limits();
    LOG.atInfo()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .addKeyValue("status", status.code())
        .addKeyValue("max_header_bytes", l.maxHeaderBytes())
        .addKeyValue("max_body_bytes", l.maxBodyBytes())
        .addKeyValue("final", isFinal)
        .log("request over the limits");
    refuse(isFinal ? status : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  /** Rejects a request that cannot be read and closes the connection, after the pending answers. */
  private void refuse(HttpResponseStatus status) {
    refused = true;
    decoder.fail();
    releasePartial();
    if (dropping) {
      // The request that is dropped has its answer, or one that waits.
      endsAfterAnswers = true;
      if (!isAnswering()) {
        endOutput();
      }
      return;
    }
    if (current != null || !waiting.isEmpty()) {
      pendingRefusal = status;
      return;
    }
    writeRefusal(status);
  }

  private void writeRefusal(HttpResponseStatus status) {
    FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      r.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    channel.writeAndFlush(r).addListener(f -> written());
    endOutput();
  }

  /**
   * Ends the connection after what is written. Closing a connection while its caller sends resets
   * it, and the caller would lose the end of its answer: what it still sends is read and dropped
   * until it has closed as well.
   */
  private void endOutput() {
    if (ending) {
      return;
    }
    ending = true;
    decoder.fail();
    releaseRequests();
    updateReading();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> shutdownOutput());
  }

  private void shutdownOutput() {
    channel.shutdownOutput();
    TimerService.Subscription linger = timers.after(LINGER_MILLIS, channel::close);
    channel.closeFuture().addListener(f -> linger.cancel());
  }

  private void releasePartial() {
    final ByteBuf b = body;
    body = null;
    head = null;
    connections.bodies().release(reservedBytes);
    reservedBytes = 0;
    connections.heads().release(headBytes);
    headBytes = 0;
    if (b != null) {
      b.release();
    }
  }

  /** Releases the requests that have not been handled. */
  private void releaseRequests() {
    releasePartial();
    for (Exchange e : waiting) {
      e.release();
    }
    waiting.clear();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    releaseRequests();
    connections.bodies().release(inputBytes);
    inputBytes = 0;
    connections.heads().release(lineBytes);
    lineBytes = 0;
    connections.answers().release(answerBytes);
    answerBytes = 0;
    Exchange e = current;
    if (e != null) {
      current = null;
      e.closed();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Exchange e = current;
    if (e != null && channel.isWritable()) {
      e.writable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.atDebug()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .setCause(cause)
        .log("connection closed");
    Exchange e = current;
    if (e != null && e.started) {
      closeAbruptly();
    } else {
      ctx.close();
    }
  }

  /**
   * Closes the connection such that the caller does not take the end for that of an answer.
   *
   * @param reason why its answers are not sent to the end
   */
  private void reset(String reason) {
    long bytes = unwrittenBytes();
    if (bytes > 0) {
      LOG.atWarn()
          .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
          .addKeyValue("reason", reason)
          .addKeyValue("bytes", bytes)
          .log("connection reset with unwritten bytes");
    }
    closeAbruptly();
  }

  private void closeAbruptly() {
    SocketChannelConfig c = channel.config();
    c.setSoLinger(0);
    channel.close();
  }

  private void written() {
    answeredAt = timers.nowMillis();
    countAnswers();
    decoder.resume();
  }

  /** Returns the bytes of answers that the socket has not taken yet. */
  private long unwrittenBytes() {
    ChannelOutboundBuffer b = channel.unsafe().outboundBuffer();
    return b == null ? 0 : b.totalPendingWriteBytes() - b.currentProgress();
  }

  /** Records how much memory the answers take that the caller has not read. */
  private void countAnswers() {
    long bytes = channel.isActive() ? unwrittenBytes() : 0;
    long grown = bytes - answerBytes;
    if (answerBytes == 0 || grown < 0) {
      lastRead = timers.nowMillis();
    }
    connections.answers().take(grown);
    answerBytes = bytes;
    if (grown > 0 && connections.answers().isExceeded()) {
      connections.limitAnswers(this);
    }
  }

  /** Returns whether no request is being received or answered and all answers are written. */
  boolean isIdle() {
    return !isReceivingBody() && !decoder.hasInput() && !isAnswering() && unwrittenBytes() == 0;
  }

  private boolean isReceivingBody() {
    return head != null || dropping;
  }

  /** Returns whether the answer in progress is to a request for the head only. */
  boolean isAnsweringHead() {
    Exchange e = current;
    return e != null && e.request.method().equals(HttpMethod.HEAD);
  }

  /** Returns whether a whole request waits that was not read yet. */
  boolean isUnhandled() {
    return decoder.isWaiting() && !isAnswering();
  }

  boolean isEnding() {
    return ending;
  }

  /** Returns when bytes last arrived or the caller was last seen to read, in milliseconds. */
  long lastActive() {
    return lastActive;
  }

  /** Returns when the caller last read a part of its answers, in milliseconds. */
  long lastRead() {
    return lastRead;
  }

  /** Returns whether the caller has answers that it does not read. */
  boolean isUnread() {
    return unwrittenBytes() > 0;
  }

  /** Returns whether a request is being received whose caller sends nothing or very little. */
  boolean isSlow(long now) {
    boolean receives = !isAnswering() && !ending && (decoder.isInHead() || isReceivingBody());
    long millis = now - receivingSince;
    ByteBuf b = body;
    long bytes = b == null ? 0 : b.readableBytes();
    return receives
        && millis >= SLOW_MILLIS
        && (now - lastActive >= SLOW_MILLIS || bytes < MIN_BODY_RATE * millis / 1_000);
  }

  private boolean isAnswering() {
    return current != null || !waiting.isEmpty();
  }

  /**
   * Returns whether the process can end without a loss for the caller. Bytes of an answer may wait
   * in the socket for a while, and are lost if the caller sends something after the end.
   */
  boolean isDrained(long now) {
    return isIdle() && now - answeredAt >= LINGER_MILLIS;
  }

  void closeIfIdle() {
    if (isIdle()) {
      endOutput();
    }
  }

  /** Resets the connection if its answers are not written, since the process ends. */
  void resetIfUnwritten() {
    if (unwrittenBytes() > 0) {
      reset("stopped");
    }
  }

  void closeIfExpired(ClientLimits l, long now) {
    long unwritten = unwrittenBytes();
    if (unwritten < lastUnwritten) {
      lastActive = now;
    }
    lastUnwritten = unwritten;
    countAnswers();
    if (isAnswering()) {
      // The input may have to wait for the answer.
      receivingSince = now;
      return;
    }
    if (isTooSlow(l, now)) {
      refuseSlow();
      return;
    }
    long limitMillis = isReceivingBody() ? l.headerTimeoutMillis() : l.idleTimeoutMillis();
    if (now - lastActive <= limitMillis) {
      return;
    }
    if (unwritten > 0) {
      reset("unread");
    } else {
      endOutput();
    }
  }

  /** Returns whether the head or the body of a request has taken too long to arrive. */
  private boolean isTooSlow(ClientLimits l, long now) {
    if (ending || refused || !receiving) {
      return false;
    }
    long millis = now - receivingSince;
    if (decoder.isInHead()) {
      return millis > l.headerTimeoutMillis();
    }
    ByteBuf b = body;
    long bytes = dropping ? droppedBytes : b == null ? 0 : b.readableBytes();
    return millis > l.idleTimeoutMillis() + bytes * 1_000 / MIN_BODY_RATE;
  }

  private void refuseSlow() {
    LOG.atInfo()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .addKeyValue("status", HttpResponseStatus.REQUEST_TIMEOUT.code())
        .addKeyValue("millis", timers.nowMillis() - receivingSince)
        .log("request arrives too slowly");
    refuse(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  /** Refuses a request that is being received, since others need its memory. */
  void endForOthers(String reason) {
    LOG.atInfo()
        .addKeyValue("peer", String.valueOf(channel.remoteAddress()))
        .addKeyValue("status", HttpResponseStatus.REQUEST_TIMEOUT.code())
        .addKeyValue("reason", reason)
        .log("slow request ended");
    connections.bodies().release(inputBytes);
    inputBytes = 0;
    refuse(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  /** Closes the connection at once, since a new one needs its place. */
  void closeForOthers() {
    channel.close();
  }

  /** Resets the connection, since its answers take the memory of others. */
  void resetUnread() {
    reset("memory");
  }

  private final class Exchange implements HttpCall {
    private final HttpRequest request;
    private final ByteBuf content;
    private final boolean keepAlive;
    private @Nullable Runnable onClosed;
    private @Nullable Runnable onWritable;
    private boolean started;
    private boolean endsWithConnection;

    /** Whether the connection ends after this answer, since others need its place. */
    private boolean leaves;

    private boolean done;
    private long contentBytes;
    private long decodedBytes;
    private final boolean lacksMemory;

    /**
     * Creates an exchange.
     *
     * @param contentBytes the memory that is reserved for the content, in bytes
     * @param decodedBytes the memory that is reserved for the decoded head, in bytes
     * @param lacksMemory whether the request is refused because its content cannot be kept
     */
    Exchange(
        HttpRequest request,
        ByteBuf content,
        long contentBytes,
        long decodedBytes,
        boolean lacksMemory) {
      this.request = request;
      this.content = content;
      this.contentBytes = contentBytes;
      this.decodedBytes = decodedBytes;
      this.lacksMemory = lacksMemory;
      this.keepAlive =
          HttpUtil.isKeepAlive(request)
              && !(lacksMemory && HttpUtil.is100ContinueExpected(request));
    }

    @Override
    public HttpMethod method() {
      return request.method();
    }

    @Override
    public String uri() {
      return request.uri();
    }

    @Override
    public HttpHeaders headers() {
      return request.headers();
    }

    @Override
    public ByteBuf body() {
      return content;
    }

    @Override
    public String peer() {
      return String.valueOf(channel.remoteAddress());
    }

    @Override
    public void onClosed(Runnable task) {
      onClosed = task;
    }

    @Override
    public void answer(HttpResponse head, ByteBuf bytes) {
      if (done || started) {
        bytes.release();
        return;
      }
      DefaultFullHttpResponse r =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), bytes);
      r.headers().set(head.headers());
      r.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
      complete(r);
    }

    @Override
    public void answer(HttpResponseStatus status, String contentType, String text) {
      DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
      r.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
      answer(r, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
      r.release();
    }

    @Override
    public void start(HttpResponse head) {
      if (done) {
        return;
      }
      started = true;
      leaves = isPlaceNeeded();
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      // A caller of HTTP/1.0 cannot read chunks; the end of the connection ends its answer.
      endsWithConnection = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
      HttpUtil.setTransferEncodingChunked(head, !endsWithConnection);
      setConnection(head);
      channel.writeAndFlush(head);
    }

    @Override
    public void writeContent(ByteBuf bytes) {
      if (done) {
        bytes.release();
        return;
      }
      channel.writeAndFlush(new DefaultHttpContent(bytes));
      countAnswers();
      if (unwrittenBytes() > CallerBacklog.MAX_BYTES) {
        reset("backlog");
      }
    }

    @Override
    public boolean isWritable() {
      return channel.isWritable();
    }

    @Override
    public void onWritable(Runnable task) {
      onWritable = task;
    }

    private void writable() {
      Runnable r = onWritable;
      if (r != null && !done) {
        r.run();
      }
    }

    @Override
    public void end() {
      if (!done) {
        complete(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }

    @Override
    public void abort() {
      if (!done) {
        done = true;
        reset("broken-off");
      }
    }

    private void complete(Object last) {
      done = true;
      leaves |= last instanceof HttpResponse && isPlaceNeeded();
      final boolean close = closesAfterAnswer();
      if (last instanceof HttpResponse r) {
        setConnection(r);
      }
      channel.writeAndFlush(last).addListener(f -> written());
      countAnswers();
      current = null;
      lastActive = timers.nowMillis();
      release();
      if (close && dropping && lacksMemory) {
        closesAfterDropping = true;
      } else if (close) {
        endOutput();
      } else if (waiting.isEmpty() && pendingRefusal != null) {
        writeRefusal(pendingRefusal);
      } else {
        handleNext();
      }
    }

    /**
     * Returns whether the connection closes after this answer. A stopping process still answers the
     * pipelined requests that it has read.
     */
    private boolean closesAfterAnswer() {
      return !keepAlive
          || endsWithConnection
          || leaves
          || (endsAfterAnswers && waiting.isEmpty())
          || (draining.getAsBoolean()
              && waiting.isEmpty()
              && !decoder.hasInput()
              && pendingRefusal == null);
    }

    /** Returns whether the connection is to end after this answer in favour of other callers. */
    private boolean isPlaceNeeded() {
      return crowded.getAsBoolean() && waiting.isEmpty();
    }

    private void setConnection(HttpResponse r) {
      r.headers().remove(HttpHeaderNames.CONNECTION);
      if (closesAfterAnswer()) {
        r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }

    private void closed() {
      done = true;
      Runnable r = onClosed;
      if (r != null) {
        r.run();
      }
      release();
    }

    private void answerUnavailable() {
      DefaultFullHttpResponse r =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
      r.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
      answer(r, Unpooled.EMPTY_BUFFER);
      r.release();
    }

    private void release() {
      connections.bodies().release(contentBytes);
      contentBytes = 0;
      connections.heads().release(decodedBytes);
      decodedBytes = 0;
      if (content.refCnt() > 0) {
        content.release();
      }
    }
  }
}
