package org.ebonypond.server.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;
import ratpack.stream.Streams;

/** The end of requests whose callers read slowly; a daemon that leaves waits for it. */
@Timeout(60)
class SlowReaderTest {
  /** More than the largest send buffer of a socket on Linux, 4 MiB, and the caller's buffer. */
  private static final int ANSWER_BYTES = 16 << 20;

  private static final String EVENT = "x".repeat(1 << 20);

  /** More than a socket holds; with that, less than what may wait for a caller. */
  private static final int EVENTS = 6;

  private static final long REACTION_MILLIS = 300;

  private final CountDownLatch ended = new CountDownLatch(1);

  /** Guards against a daemon that exits while the caller of a long answer still reads it. */
  @Test
  void requestEndsOnceItsAnswerIsWritten() throws Exception {
    assertEndsAfterReading(ctx -> ctx.getResponse().send(new byte[ANSWER_BYTES]), ANSWER_BYTES);
  }

  /** Guards against a daemon that exits before the end of a stream is written. */
  @Test
  void requestEndsOnceItsStreamIsWritten() throws Exception {
    assertEndsAfterReading(SlowReaderTest::stream, EVENTS * EVENT.length());
  }

  private static void stream(Context ctx) {
    AnswerStream s = new AnswerStream(ctx.getDirectChannelAccess().getChannel(), () -> {});
    ctx.getResponse().sendStream(Streams.bindExec(s));
    Thread source =
        new Thread(
            () -> {
              for (int i = 0; i < EVENTS; i++) {
                s.add(EVENT);
                sleep();
              }
              s.end();
            });
    source.start();
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(REACTION_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void assertEndsAfterReading(Handler answer, int bytes) throws Exception {
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
                        registry ->
                            ctx -> {
                              ctx.onClose(o -> ended.countDown());
                              answer.handle(ctx);
                            }));
    try (Socket s = new Socket()) {
      s.setReceiveBufferSize(64 << 10);
      s.setSoTimeout(10_000);
      s.connect(new InetSocketAddress("127.0.0.1", server.getBindPort()));
      s.getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      InputStream in = s.getInputStream();
      assertTrue(in.read() >= 0);
      assertFalse(ended.await(EVENTS * REACTION_MILLIS + 500, TimeUnit.MILLISECONDS));
      int read = 0;
      byte[] part = new byte[64 << 10];
      for (int n = 0; n >= 0; n = in.read(part)) {
        read += n;
      }
      assertTrue(read >= bytes, read + " of " + bytes + " bytes");
      assertTrue(ended.await(10, TimeUnit.SECONDS));
    } finally {
      server.stop();
    }
  }
}
