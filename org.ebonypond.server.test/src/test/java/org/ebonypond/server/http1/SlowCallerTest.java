package org.ebonypond.server.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.serving.ClientLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** Callers that read answers which are larger than the buffers of their connections. */
@Timeout(60)
class SlowCallerTest {
  /** More than the largest send buffer of a socket on Linux, 4 MiB, and the caller's buffer. */
  private static final int ANSWER_BYTES = 16 << 20;

  /** Each of them is smaller than {@link CallerBacklog#MAX_BYTES}. */
  private static final int CHUNKS = 8;

  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  /** What fits into the send buffer of a socket whose caller has read some megabytes. */
  private static final int LAST_BYTES = 512 << 10;

  /** Time for the event loop to react to a socket, in milliseconds. */
  private static final long REACTION_MILLIS = 200;

  /** More than the requests and answers of these tests take. */
  private static final long MEMORY_BYTES = 64 << 20;

  private static final int MAX_CONNECTIONS = 100;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

  private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

  /** Used on the event loop only. */
  private final ManualTimerService timers = new ManualTimerService();

  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private HttpService service = SlowCallerTest::answerWhole;
  private HttpListener listener;
  private int port;

  @BeforeEach
  void listen() throws IOException {
    lines.start();
    log().addAppender(lines);
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    listener =
        new HttpListener(
            loop,
            timers,
            c -> service.handle(c),
            () -> ClientLimits.DEFAULT,
            new CallerConnections(timers, MEMORY_BYTES, MEMORY_BYTES, MEMORY_BYTES),
            MAX_CONNECTIONS);
    listener.listen(new InetSocketAddress("127.0.0.1", port));
  }

  @AfterEach
  void stop() {
    log().detachAppender(lines);
    listener.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Logger log() {
    return (Logger) LoggerFactory.getLogger(HttpConnection.class);
  }

  private static HttpResponse ok() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  private static ByteBuf content() {
    return Unpooled.wrappedBuffer(new byte[ANSWER_BYTES]);
  }

  private static void answerWhole(HttpCall call) {
    call.answer(ok(), content());
  }

  /** Answers in chunks, as fast as the caller reads. */
  private static void answerInChunks(HttpCall call) {
    call.start(ok());
    int[] left = {CHUNKS};
    Runnable write =
        () -> {
          while (call.isWritable() && left[0]-- > 0) {
            call.writeContent(Unpooled.wrappedBuffer(new byte[ANSWER_BYTES / CHUNKS]));
          }
          if (left[0] <= 0) {
            call.end();
          }
        };
    call.onWritable(write);
    write.run();
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(10, TimeUnit.SECONDS);
  }

  private void advance(long millis) throws Exception {
    onLoop(
        () -> {
          timers.advance(millis);
          return null;
        });
  }

  private static void awaitReaction() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(REACTION_MILLIS);
  }

  private List<String> messages() {
    return List.copyOf(lines.list).stream().map(ILoggingEvent::getMessage).toList();
  }

  /** Guards against a stop that cuts an answer which its caller has not read to the end. */
  @Test
  void closingIdleConnectionsKeepsUnreadAnswer() throws Exception {
    try (Caller c = new Caller()) {
      c.send(REQUEST);
      c.read(1);
      listener.closeIdle();
      awaitReaction();
      c.read(ANSWER_BYTES - c.bytes);
      listener.closeIdle();
      c.assertWholeAnswer();
    }
  }

  /** Guards against a stop that cuts the end of a stream which its caller has not read yet. */
  @Test
  void closingIdleConnectionsKeepsUnreadEndOfStream() throws Exception {
    service = SlowCallerTest::answerInChunks;
    try (Caller c = new Caller()) {
      c.send(REQUEST);
      c.read(ANSWER_BYTES / 2);
      for (int i = 0; i < ANSWER_BYTES / 2 / LAST_BYTES; i++) {
        c.read(LAST_BYTES);
        awaitReaction();
        listener.closeIdle();
      }
      c.assertWholeAnswer();
    }
  }

  /**
   * Guards against a stopping process that resets a connection, and the end of its answer, because
   * the caller has sent another request.
   */
  @Test
  void requestBehindLastAnswerDoesNotResetTheConnection() throws Exception {
    listener.drain();
    try (Caller c = new Caller()) {
      c.send(REQUEST);
      c.read(ANSWER_BYTES - LAST_BYTES);
      awaitReaction();
      c.send(REQUEST);
      awaitReaction();
      c.assertWholeAnswer();
      assertTrue(c.head.contains("onnection: close"), c.head);
    }
  }

  /** Guards against the same reset where the caller asked for the end of the connection. */
  @Test
  void bytesBehindLastRequestDoNotResetTheConnection() throws Exception {
    try (Caller c = new Caller()) {
      c.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      c.read(ANSWER_BYTES - LAST_BYTES);
      awaitReaction();
      c.send(REQUEST);
      awaitReaction();
      c.assertWholeAnswer();
    }
  }

  /** Guards against a refused request that cuts the answer to the request before it. */
  @Test
  void malformedRequestDoesNotCutTheAnswerBeforeIt() throws Exception {
    try (Caller c = new Caller()) {
      c.send(REQUEST + "GET /x HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n");
      c.read(1);
      advance(5_000);
      awaitReaction();
      c.read(ANSWER_BYTES - c.bytes);
      String rest = c.readText();
      assertTrue(rest.startsWith("HTTP/1.1 400"), rest);
    }
  }

  /** Guards against the idle timeout of a connection whose caller still reads an answer. */
  @Test
  void readingCallerIsNotIdle() throws Exception {
    try (Caller c = new Caller()) {
      c.send(REQUEST);
      for (int i = 0; i < ANSWER_BYTES / (2 << 20); i++) {
        c.read(2 << 20);
        awaitReaction();
        advance(ClientLimits.DEFAULT.idleTimeoutMillis() / 3);
      }
      assertEquals(ANSWER_BYTES, c.bytes);
    }
  }

  /** Guards against answers that stay in memory because their callers have stopped reading. */
  @Test
  void callerThatStopsReadingIsDisconnected() throws Exception {
    try (Caller c = new Caller()) {
      c.send(REQUEST);
      c.read(1);
      awaitReaction();
      advance(2 * ClientLimits.DEFAULT.idleTimeoutMillis());
      awaitReaction();
      c.readToEnd();
      assertTrue(c.bytes < ANSWER_BYTES);
    }
    assertTrue(messages().contains("connection reset with unwritten bytes"), "" + messages());
  }

  /** A caller with a small receive buffer. */
  private final class Caller implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private String head = "";
    private long bytes;

    Caller() throws IOException {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setSoTimeout(10_000);
      socket.connect(new InetSocketAddress("127.0.0.1", port));
      in = socket.getInputStream();
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads bytes of the body, after the head. */
    void read(long count) throws IOException {
      StringBuilder b = new StringBuilder(head);
      while (b.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new EOFException("no head of an answer");
        }
        b.append((char) next);
      }
      head = b.toString();
      bytes += in.readNBytes((int) count).length;
    }

    /** Reads up to the end of the connection, be it in order or not; returns whether it was. */
    boolean readToEnd() {
      byte[] part = new byte[RECEIVE_BUFFER_BYTES];
      try {
        for (int n = in.read(part); n >= 0; n = in.read(part)) {
          bytes += n;
        }
        return true;
      } catch (IOException e) {
        return false;
      }
    }

    String readText() throws IOException {
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    void assertWholeAnswer() {
      boolean ordered = readToEnd();
      assertTrue(bytes >= ANSWER_BYTES, bytes + " of " + ANSWER_BYTES + " bytes");
      assertTrue(ordered, "the connection was reset");
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
