package org.ebonypond.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.server.RatpackServer;
import ratpack.stream.Streams;

/** Answers that are produced faster than their caller reads them. */
@Tag("deployed-heap")
class AnswerStreamTest {
  private static final String TEXT = "x".repeat(1_024);

  /** Twice the size at which the forwarding path closes the connection of a slow caller. */
  private static final int MANY = 8_192;

  private final AtomicInteger cancelled = new AtomicInteger();
  private final CountDownLatch cancellation = new CountDownLatch(1);

  private AnswerStream stream() {
    return stream(new EmbeddedChannel());
  }

  private AnswerStream stream(Channel connection) {
    return new AnswerStream(
        connection,
        () -> {
          cancelled.incrementAndGet();
          cancellation.countDown();
        });
  }

  /** Guards against an answer that fills the memory because its caller does not read it. */
  @Test
  void callerThatDoesNotReadIsGivenUp() {
    Channel connection = new EmbeddedChannel();
    AnswerStream s = stream(connection);
    Recorder r = new Recorder(1);
    s.subscribe(r);
    for (int i = 0; i < MANY; i++) {
      s.add(TEXT);
    }
    s.end();
    assertEquals(List.of("next"), r.signals);
    assertFalse(connection.isOpen());
    assertEquals(1, cancelled.get());
  }

  /** Guards against an answer that fills the memory before its head is sent. */
  @Test
  void answerWithoutSubscriberIsBounded() {
    Channel connection = new EmbeddedChannel();
    AnswerStream s = stream(connection);
    for (int i = 0; i < MANY; i++) {
      s.add(TEXT);
    }
    s.end();
    assertFalse(connection.isOpen());
    assertEquals(1, cancelled.get());
    Recorder r = new Recorder(1);
    s.subscribe(r);
    assertEquals(List.of(), r.signals);
  }

  @Test
  void callerThatReadsGetsAnAnswerOfAnyLength() {
    AnswerStream s = stream();
    Recorder r = new Recorder(Long.MAX_VALUE);
    s.subscribe(r);
    for (int i = 0; i < MANY; i++) {
      s.add(TEXT);
    }
    s.end();
    assertEquals(MANY + 1, r.signals.size());
    assertEquals("complete", r.signals.get(MANY));
    assertEquals(0, cancelled.get());
  }

  /** Guards against a cut answer that its caller takes for a complete one. */
  @Test
  void connectionOfSlowCallerIsClosedInsideTheAnswer() throws Exception {
    CompletableFuture<AnswerStream> started = new CompletableFuture<>();
    RatpackServer server =
        RatpackServer.start(
            d ->
                d.serverConfig(
                        c ->
                            c.address(InetAddress.getByName("127.0.0.1"))
                                .port(0)
                                .registerShutdownHook(false)
                                .development(false))
                    .handler(
                        r ->
                            ctx -> {
                              AnswerStream s = stream(ctx.getDirectChannelAccess().getChannel());
                              ctx.getResponse().sendStream(Streams.bindExec(s));
                              started.complete(s);
                            }));
    try (Socket caller = new Socket("127.0.0.1", server.getBindPort())) {
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      AnswerStream s = started.get(10, TimeUnit.SECONDS);
      for (int kib = 0; kib < 64 << 10 && cancelled.get() == 0; kib++) {
        s.add(TEXT);
      }
      assertTrue(cancellation.await(10, TimeUnit.SECONDS), "64 MiB were kept");
      s.end();
      caller.setSoTimeout(10_000);
      assertFalse(readToEnd(caller).endsWith("\r\n0\r\n\r\n"), "the answer looks complete");
    } finally {
      server.stop();
    }
  }

  /** Reads until the connection ends. A reset also ends it. */
  private static String readToEnd(Socket s) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    InputStream in = s.getInputStream();
    byte[] buffer = new byte[64 << 10];
    try {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        out.write(buffer, 0, n);
      }
    } catch (SocketException e) {
      return out.toString(StandardCharsets.US_ASCII);
    }
    return out.toString(StandardCharsets.US_ASCII);
  }

  private static final class Recorder implements Subscriber<ByteBuf> {
    final List<String> signals = new ArrayList<>();
    private final long demand;

    Recorder(long demand) {
      this.demand = demand;
    }

    @Override
    public void onSubscribe(Subscription s) {
      s.request(demand);
    }

    @Override
    public void onNext(ByteBuf b) {
      b.release();
      signals.add("next");
    }

    @Override
    public void onError(Throwable t) {
      signals.add("error");
    }

    @Override
    public void onComplete() {
      signals.add("complete");
    }
  }
}
