package org.ebonypond.server.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
  private static final int MAX_HEAD_BYTES = 1_000;
  private static final String HEAD = "POST /x HTTP/1.1\r\nHost: h\r\n";
  private static final String REQUEST = HEAD + "Content-Length: 0\r\n\r\n";

  /** Admits each head by the same decision. */
  private static final class FakeGate implements RequestDecoder.Gate {
    private Decision decision = Decision.ADMIT;
    private final List<Integer> lines = new ArrayList<>();

    @Override
    public Decision admit(HeadScanner head) {
      lines.add(head.lines());
      return decision;
    }

    @Override
    public void decoded(long nanos) {
      // No limit on the time of heads here.
    }

    @Override
    public int maxHeadBytes() {
      return MAX_HEAD_BYTES;
    }

    @Override
    public void inputChanged() {
      // The tests ask the decoder.
    }
  }

  private final FakeGate gate = new FakeGate();
  private final RequestDecoder decoder = new RequestDecoder(MAX_HEAD_BYTES, gate);
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private static ByteBuf bytes(String text) {
    // A copy that may be written, as the buffers of a socket.
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private void receive(String text) {
    receiveInOneTurn(text);
    // Lets the channel run the tasks of its event loop, too.
    channel.pipeline().fireChannelReadComplete();
  }

  private void receiveInOneTurn(String text) {
    channel.pipeline().fireChannelRead(bytes(text));
  }

  private HttpRequest nextRequest() {
    Object o = channel.readInbound();
    while (o != null && !(o instanceof HttpRequest)) {
      ReferenceCountUtil.release(o);
      o = channel.readInbound();
    }
    return (HttpRequest) o;
  }

  /** Guards against fields that are decoded although their head never ends. */
  @Test
  void incompleteHeadIsKeptAsBytes() {
    receive(HEAD + "a:\r\n".repeat(100));
    assertTrue(gate.lines.isEmpty());
    assertNull(channel.readInbound());
    assertTrue(decoder.isInHead());
    receive("\r\n");
    assertEquals(List.of(102), gate.lines);
    assertEquals(101, nextRequest().headers().size());
    assertFalse(decoder.isInHead());
  }

  @Test
  void headInSmallestPartsIsDecoded() {
    for (char c : REQUEST.toCharArray()) {
      receive(String.valueOf(c));
    }
    assertEquals("/x", nextRequest().uri());
  }

  /** Guards against a head that grows without end. */
  @Test
  void headOverTheLimitIsRefused() {
    receive(HEAD + "X-Long: " + "x".repeat(MAX_HEAD_BYTES));
    assertTrue(nextRequest().decoderResult().isFailure());
    assertEquals(0, decoder.bufferedBytes());
    receive(REQUEST);
    assertNull(channel.readInbound());
  }

  @Test
  void headWithoutMemoryIsRefusedUndecoded() {
    gate.decision = RequestDecoder.Gate.Decision.REFUSE;
    receive(REQUEST);
    HttpRequest r = nextRequest();
    assertTrue(r.decoderResult().cause() instanceof RequestDecoder.NoMemoryException);
    assertTrue(r.headers().isEmpty());
  }

  @Test
  void headThatWaitsIsDecodedLater() {
    gate.decision = RequestDecoder.Gate.Decision.WAIT;
    receive(REQUEST);
    assertNull(channel.readInbound());
    assertTrue(decoder.isWaiting());
    assertFalse(decoder.isInHead());
    gate.decision = RequestDecoder.Gate.Decision.ADMIT;
    decoder.resume();
    channel.runPendingTasks();
    assertEquals("/x", nextRequest().uri());
    assertFalse(decoder.isWaiting());
  }

  /** Guards against memory that unread input takes while a head waits. */
  @Test
  void readingPausesWhileMuchInputWaits() {
    gate.decision = RequestDecoder.Gate.Decision.WAIT;
    receive(REQUEST);
    assertFalse(decoder.isPaused());
    for (int i = 0; i < 20; i++) {
      receive("x".repeat(1_000));
    }
    assertTrue(decoder.isPaused());
  }

  /** Guards against a connection that keeps the event loop with the requests of one read. */
  @Test
  void oneRequestIsDecodedInTurn() {
    receiveInOneTurn(REQUEST + REQUEST);
    assertNotNull(nextRequest());
    assertNull(nextRequest());
    assertTrue(decoder.isPaused());
    channel.runPendingTasks();
    assertNotNull(nextRequest());
    assertFalse(decoder.isPaused());
  }

  /** Guards against a connection that keeps the event loop with small chunks. */
  @Test
  void chunksOfOneTurnAreLimited() {
    String chunks = "1\r\nx\r\n".repeat(200) + "0\r\n\r\n";
    receiveInOneTurn(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    int first = contentBytes();
    assertTrue(first > 0 && first < 100, first + " chunks");
    channel.runPendingTasks();
    assertEquals(200, first + contentBytes());
  }

  private int contentBytes() {
    int sum = 0;
    for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
      sum += o instanceof HttpContent c ? c.content().readableBytes() : 0;
      ReferenceCountUtil.release(o);
    }
    return sum;
  }

  @Test
  void emptyLinesBeforeRequestAreSkipped() {
    receive("\r\n\r\n" + REQUEST);
    assertEquals("/x", nextRequest().uri());
  }

  /** Guards against empty lines without end, which the decoder of the library skips. */
  @Test
  void emptyLinesOverTheLimitAreRefused() {
    for (int i = 0; i <= MAX_HEAD_BYTES / 100; i++) {
      receive("\r\n".repeat(50));
    }
    assertTrue(nextRequest().decoderResult().isFailure());
  }

  /** Guards against folded lines each of which copies all before it. */
  @Test
  void foldedLineContinuesItsField() {
    receive(HEAD + "X-Folded: a\r\n b\r\n\tc\r\nContent-Length: 0\r\n\r\n");
    HttpRequest r = nextRequest();
    assertFalse(r.decoderResult().isFailure());
    String[] parts = r.headers().get("X-Folded").trim().split("\\s+");
    assertEquals(List.of("a", "b", "c"), List.of(parts));
  }

  /** Guards against a folded line that becomes a part of the request line. */
  @Test
  void foldedRequestLineIsRefused() {
    receive("GET /x HTTP/1.1\r\n Host: h\r\n\r\n");
    assertTrue(nextRequest().decoderResult().isFailure());
  }

  /** Guards against bodies that consist of chunk extensions. */
  @Test
  void chunkExtensionsAreLimited() {
    receive(HEAD + "Transfer-Encoding: chunked\r\n\r\n");
    assertNotNull(nextRequest());
    for (int i = 0; i < 200; i++) {
      receive("1;" + "x".repeat(900) + "\r\nx\r\n");
      channel.runPendingTasks();
    }
    HttpRequest refusal = nextRequest();
    assertNotNull(refusal);
    assertTrue(refusal.decoderResult().isFailure());
  }

  /** Guards against trailers that are decoded and kept. */
  @Test
  void trailersAreDropped() {
    receive(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nC: d\r\n\r\n");
    channel.runPendingTasks();
    assertNotNull(nextRequest());
    LastHttpContent last = channel.readInbound();
    assertTrue(last.trailingHeaders().isEmpty());
    receive(REQUEST);
    assertNotNull(nextRequest());
  }
}
