package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the answers of a backend server. A head is decoded only when it is complete and valid;
 * any other is passed on as a failure.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_LINE_BYTES = 8 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  private final BooleanSupplier answersHead;
  private final ResponseHeadCheck check = new ResponseHeadCheck();
  private final HeadScanner scanner = new HeadScanner(check);
  private boolean inBody;
  private boolean failed;

  /**
   * Creates a decoder.
   *
   * @param answersHead returns whether the request in progress asks for the head only, so that its
   *     answer has no body
   */
  ResponseDecoder(BooleanSupplier answersHead) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setStrictLineParsing(true));
    this.answersHead = answersHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage m) {
    return super.isContentAlwaysEmpty(m) || answersHead.getAsBoolean();
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("no colon after the name of a field");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (failed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (!inBody && !isHeadValid(in, out)) {
      return;
    }
    int first = out.size();
    super.decode(ctx, in, out);
    for (int i = first; i < out.size(); i++) {
      if (out.get(i) instanceof HttpContent c) {
        inBody = !(c instanceof LastHttpContent);
      }
    }
  }

  private boolean isHeadValid(ByteBuf in, List<Object> out) {
    boolean complete = scanner.scan(in);
    if (scanner.bytes() > MAX_HEAD_BYTES) {
      fail(in, out, new TooLongHttpHeaderException("a head of over " + MAX_HEAD_BYTES + " bytes"));
      return false;
    }
    String problem = complete ? problem(in) : check.problem();
    if (problem != null) {
      fail(in, out, new IllegalArgumentException(problem));
      return false;
    }
    if (complete) {
      inBody = true;
      scanner.reset();
      check.reset();
    }
    return complete;
  }

  /** Returns why a complete head is invalid, or null. */
  private @Nullable String problem(ByteBuf in) {
    if (scanner.lines() == 0) {
      return "an empty line in place of a status line";
    }
    int emptyLine = in.readerIndex() + scanner.bytes() - 2;
    return in.getByte(emptyLine) == '\r' ? check.problem() : "a line without a carriage return";
  }

  private void fail(ByteBuf in, List<Object> out, RuntimeException cause) {
    failed = true;
    in.skipBytes(in.readableBytes());
    HttpMessage m = createInvalidMessage();
    m.setDecoderResult(DecoderResult.failure(cause));
    out.add(m);
  }
}
