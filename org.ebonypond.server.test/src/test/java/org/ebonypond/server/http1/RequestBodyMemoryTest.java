package org.ebonypond.server.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.ebonypond.server.timer.EventLoopTimerService;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A listener with memory for three bodies, whose calls wait for their answers. */
class RequestBodyMemoryTest {
  private static final int BODY_BYTES = 1_000_000;

  private static final long MEMORY_BYTES = 3L * BODY_BYTES + BODY_BYTES / 2;

  /** More than the heads and answers of these tests take. */
  private static final long OTHER_BYTES = 64 << 20;

  private static final int MAX_CONNECTIONS = 100;
  private static final String OK = "HTTP/1.1 200 OK";
  private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable";

  private final NioEventLoopGroup loop = new NioEventLoopGroup(1);
  private final ConcurrentLinkedQueue<HttpCall> calls = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private HttpListener listener;
  private int port;

  @BeforeEach
  void listen() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    TimerService timers = new EventLoopTimerService(loop.next());
    listener =
        new HttpListener(
            loop,
            timers,
            calls::add,
            () -> ClientLimits.DEFAULT,
            new CallerConnections(timers, MEMORY_BYTES, OTHER_BYTES, OTHER_BYTES),
            MAX_CONNECTIONS);
    listener.listen(new InetSocketAddress("127.0.0.1", port));
  }

  @AfterEach
  void stop() throws IOException {
    for (Caller c : callers) {
      c.socket.close();
    }
    listener.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns three callers that have announced bodies and not sent them yet. */
  private List<Caller> fillMemory() throws Exception {
    for (int i = 0; i < 3; i++) {
      new Caller().sendHead("");
    }
    // The listener must have read the heads.
    TimeUnit.MILLISECONDS.sleep(300);
    return List.copyOf(callers);
  }

  /**
   * Guards against a burst of large bodies that exhausts the memory of a process, which then
   * answers nothing for seconds.
   */
  @Test
  void bodyBeyondTheMemoryIsRefusedBeforeItArrives() throws Exception {
    final List<Caller> accepted = fillMemory();
    Caller refused = new Caller();
    refused.sendHead("");
    assertEquals(UNAVAILABLE, refused.readStatus());
    for (Caller c : accepted) {
      c.sendBody();
    }
    await(3);
    answer(3);
    for (Caller c : accepted) {
      assertEquals(OK, c.readStatus());
    }
  }

  /** Guards against a connection whose next request is taken for a part of a refused body. */
  @Test
  void connectionIsUsableAfterRefusal() throws Exception {
    final Caller accepted = fillMemory().get(0);
    Caller refused = new Caller();
    refused.sendHead("");
    assertEquals(UNAVAILABLE, refused.readStatus());
    accepted.sendBody();
    await(1);
    answer(1);
    assertEquals(OK, accepted.readStatus());
    refused.sendBody();
    refused.sendHead("");
    refused.sendBody();
    await(1);
    assertEquals(BODY_BYTES, calls.element().body().readableBytes());
    answer(1);
    assertEquals(OK, refused.readStatus());
  }

  /** Guards against a refusal that is lost because the connection closes under a body. */
  @Test
  void refusalIsReadableAfterTheBodyWasSent() throws Exception {
    fillMemory();
    Caller refused = new Caller();
    refused.sendHead("Connection: close\r\n");
    TimeUnit.MILLISECONDS.sleep(200);
    refused.sendBody();
    assertEquals(UNAVAILABLE, refused.readStatus());
    assertEquals(-1, refused.in.read());
  }

  /** Guards against a chunked body, whose size is not announced, that is kept without limit. */
  @Test
  void chunkedBodyBeyondTheMemoryIsRefused() throws Exception {
    fillMemory();
    Caller refused = new Caller();
    refused.write("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    refused.write(Integer.toHexString(BODY_BYTES) + "\r\n");
    refused.sendBody();
    refused.write("\r\n0\r\n\r\n");
    assertEquals(UNAVAILABLE, refused.readStatus());
    refused.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    await(1);
    answer(1);
    assertEquals(OK, refused.readStatus());
  }

  /** Guards against a connection that stays open although its answer announced its end. */
  @Test
  void connectionEndsAfterTheRefusalOfItsLastBody() throws Exception {
    fillMemory();
    Caller refused = new Caller();
    refused.write("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
    refused.write("Transfer-Encoding: chunked\r\n\r\n");
    refused.write(Integer.toHexString(BODY_BYTES) + "\r\n");
    refused.sendBody();
    refused.write("\r\n0\r\n\r\n");
    assertEquals(UNAVAILABLE, refused.readStatus());
    assertEquals(-1, refused.in.read());
  }

  /** Guards against memory that is kept for callers that left before they sent their bodies. */
  @Test
  void memoryOfCallersThatLeftIsFree() throws Exception {
    for (Caller c : fillMemory()) {
      c.socket.close();
    }
    TimeUnit.MILLISECONDS.sleep(300);
    Caller next = new Caller();
    next.sendHead("");
    next.sendBody();
    await(1);
  }

  private void await(int count) throws InterruptedException {
    for (int i = 0; i < 100 && calls.size() < count; i++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertTrue(calls.size() >= count);
  }

  private void answer(int count) {
    for (int i = 0; i < count; i++) {
      HttpCall c = calls.remove();
      loop.execute(() -> c.answer(HttpResponseStatus.OK, "text/plain", ""));
    }
  }

  private final class Caller {
    private final Socket socket = new Socket("127.0.0.1", port);
    private final BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));

    Caller() throws IOException {
      socket.setSoTimeout(10_000);
      callers.add(this);
    }

    void sendHead(String headers) throws IOException {
      write("POST /x HTTP/1.1\r\nHost: h\r\n" + headers);
      write("Content-Length: " + BODY_BYTES + "\r\n\r\n");
    }

    void sendBody() throws IOException {
      write("b".repeat(BODY_BYTES));
    }

    String readStatus() throws IOException {
      String status = in.readLine();
      String line = status;
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      return status;
    }

    private void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }
  }
}
