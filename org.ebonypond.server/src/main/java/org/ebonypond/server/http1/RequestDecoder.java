package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of a caller. A head is decoded when it is complete and its decoded size fits
 * into the memory for heads: short fields take many times their bytes. A connection has the event
 * loop for a limited number of messages at a time; the rest waits for the other connections.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Bounds the time that a connection takes of the event loop when its body has small chunks. */
  private static final int MAX_PARTS_PER_TURN = 64;

  /** What is kept of input that may not be decoded yet before reading pauses, in bytes. */
  private static final int MAX_WAITING_BYTES = 16 << 10;

  /** Bytes of chunk sizes, extensions and trailers that a body of any size may have. */
  private static final int MAX_OVERHEAD_BYTES = 64 << 10;

  /** Chunks of one byte, the smallest ones, have five bytes of overhead. */
  private static final int MAX_OVERHEAD_PER_BYTE = 8;

  /** The connection, which decides when a request is decoded. */
  interface Gate {
    /** What becomes of a head that is complete. */
    enum Decision {
      ADMIT,
      /** The caller has to read earlier answers first, or other requests need the memory. */
      WAIT,
      /** There is no memory. */
      REFUSE
    }

    Decision admit(HeadScanner head);

    /** Called after a head was decoded, with the time that this took. */
    void decoded(long nanos);

    /** Returns the size above which a head is refused before it is decoded, in bytes. */
    int maxHeadBytes();

    /** Called when bytes were decoded, or wait to be decoded. */
    void inputChanged();
  }

  /** Thrown if there is no memory for the decoded head. */
  static final class NoMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    NoMemoryException() {
      super("no memory for the head of a request", null, false, false);
    }
  }

  private final Gate gate;
  private final HeadScanner scanner = new HeadScanner(RequestDecoder::unfold);
  private @Nullable ChannelHandlerContext context;
  private boolean inBody;

  /** Whether the next call of the base class decodes a head. */
  private boolean headAdmitted;

  /** Whether all further input is dropped. */
  private boolean failed;

  /** Whether a complete head waits until the gate lets it be resumed. */
  private boolean waits;

  /** Whether the other connections have their turn. */
  private boolean suspended;

  /** Whether the next turn of this connection is scheduled. */
  private boolean resuming;

  private int headsOfTurn;
  private int partsOfTurn;
  private int emptyBytes;
  private long bodyBytes;
  private long overheadBytes;

  /**
   * Creates a decoder.
   *
   * @param maxLineBytes the maximum length of a line, which does not change later, in bytes
   */
  RequestDecoder(int maxLineBytes, Gate gate) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxLineBytes)
            .setMaxHeaderSize(maxLineBytes)
            // Lengths that differ are still refused.
            .setAllowDuplicateContentLengths(true)
            .setTrailersFactory(new DroppedTrailers()));
    this.gate = gate;
  }

  /** Replaces a line break before a blank, which continues the line before, by blanks. */
  private static void unfold(ByteBuf in, int start, int end) {
    byte first = in.getByte(start);
    boolean folded = first == ' ' || first == '\t';
    int lf = start - 1;
    if (!folded || lf < in.readerIndex() || in.getByte(lf) != '\n') {
      return;
    }
    in.setByte(lf, ' ');
    if (lf > in.readerIndex() && in.getByte(lf - 1) == '\r') {
      in.setByte(lf - 1, ' ');
    }
  }

  /** Returns whether the head of a request is incomplete, or a complete one waits. */
  boolean hasInput() {
    return !inBody && !failed && actualReadableBytes() > 0;
  }

  /** Returns whether the head of a request is incomplete. */
  boolean isInHead() {
    return hasInput() && !waits && !suspended;
  }

  /** Returns whether a complete head waits. */
  boolean isWaiting() {
    return waits;
  }

  /** Returns whether no further bytes may be read from the socket. */
  boolean isPaused() {
    return suspended || (waits && actualReadableBytes() > MAX_WAITING_BYTES);
  }

  /** Returns the memory of the bytes that wait to be decoded. */
  int bufferedBytes() {
    return actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
  }

  /** Decodes a request that had to wait, soon. */
  void resume() {
    if (waits) {
      suspend();
    }
  }

  /** Drops all input, also what waits. */
  void fail() {
    failed = true;
    if (actualReadableBytes() > 0) {
      suspend();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    context = ctx;
    if (!suspended) {
      headsOfTurn = 0;
      partsOfTurn = 0;
    }
    super.channelRead(ctx, message);
    gate.inputChanged();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    // The base class would read more although reading is paused.
    discardSomeReadBytes();
    ctx.fireChannelReadComplete();
  }

  /** Lets other connections have their turn before the rest of the input is decoded. */
  private void suspend() {
    ChannelHandlerContext ctx = context;
    suspended = true;
    if (!resuming && ctx != null) {
      resuming = true;
      ctx.executor().execute(() -> nextTurn(ctx));
    }
  }

  private void nextTurn(ChannelHandlerContext ctx) {
    resuming = false;
    suspended = false;
    waits = false;
    if (ctx.isRemoved()) {
      return;
    }
    try {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
      channelReadComplete(ctx);
    } catch (Exception e) {
      ctx.fireExceptionCaught(e);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (failed || !ctx.channel().isActive()) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (suspended || waits) {
      return;
    }
    if (partsOfTurn >= MAX_PARTS_PER_TURN) {
      suspend();
      return;
    }
    if (!inBody && !isHeadAdmitted(in, out)) {
      return;
    }
    partsOfTurn++;
    int before = in.readableBytes();
    int first = out.size();
    long startedNanos = headAdmitted ? System.nanoTime() : 0;
    super.decode(ctx, in, out);
    if (headAdmitted) {
      headAdmitted = false;
      gate.decoded(System.nanoTime() - startedNanos);
    }
    track(in, out, first, before - in.readableBytes());
  }

  private boolean isHeadAdmitted(ByteBuf in, List<Object> out) {
    if (skipEmptyLines(in, out)) {
      return false;
    }
    boolean complete = scanner.scan(in);
    if (scanner.bytes() > gate.maxHeadBytes()) {
      refuse(in, out, new TooLongHttpHeaderException("a head of over " + gate.maxHeadBytes()));
      return false;
    }
    if (!complete) {
      return false;
    }
    if (headsOfTurn > 0) {
      suspend();
      return false;
    }
    switch (gate.admit(scanner)) {
      case WAIT -> {
        waits = true;
        return false;
      }
      case REFUSE -> {
        refuse(in, out, new NoMemoryException());
        return false;
      }
      default -> {
        headsOfTurn++;
        headAdmitted = true;
        inBody = true;
        emptyBytes = 0;
        bodyBytes = 0;
        overheadBytes = 0;
        scanner.reset();
        return true;
      }
    }
  }

  /** Skips line ends before a request; returns whether nothing else is left. */
  private boolean skipEmptyLines(ByteBuf in, List<Object> out) {
    if (scanner.bytes() > 0) {
      return false;
    }
    while (in.isReadable() && isLineEnd(in.getByte(in.readerIndex()))) {
      in.skipBytes(1);
      emptyBytes++;
    }
    if (emptyBytes > gate.maxHeadBytes()) {
      refuse(in, out, new IllegalArgumentException("empty lines and no request"));
      return true;
    }
    return !in.isReadable();
  }

  private static boolean isLineEnd(byte b) {
    return b == '\r' || b == '\n';
  }

  /** Drops the input and passes on a request that says why it could not be read. */
  private void refuse(ByteBuf in, List<Object> out, RuntimeException cause) {
    failed = true;
    in.skipBytes(in.readableBytes());
    HttpMessage m = createInvalidMessage();
    m.setDecoderResult(DecoderResult.failure(cause));
    out.add(m);
  }

  /** Follows the state of the base class, which it does not show. */
  private void track(ByteBuf in, List<Object> out, int first, int consumed) {
    int content = 0;
    for (int i = first; i < out.size(); i++) {
      Object o = out.get(i);
      if (o instanceof HttpMessage m) {
        failed |= m.decoderResult().isFailure();
        consumed = 0;
      }
      if (o instanceof HttpContent c) {
        content += c.content().readableBytes();
        failed |= c.decoderResult().isFailure();
        inBody = !(c instanceof LastHttpContent);
      }
    }
    bodyBytes += content;
    overheadBytes += consumed - content;
    if (inBody && overheadBytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BYTE * bodyBytes) {
      refuse(in, out, new IllegalArgumentException("a body of chunk extensions or trailers"));
    }
  }

  /** Makes trailers that keep nothing: no request needs them, and their fields take memory. */
  private static final class DroppedTrailers implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return newEmptyHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new DefaultHttpHeaders() {
        @Override
        public HttpHeaders add(CharSequence name, Object value) {
          return this;
        }
      };
    }
  }
}
