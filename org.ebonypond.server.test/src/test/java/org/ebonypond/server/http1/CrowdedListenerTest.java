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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ebonypond.server.timer.EventLoopTimerService;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A listener all of whose places are taken. */
class CrowdedListenerTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final long MEMORY_BYTES = 64 << 20;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

  private final NioEventLoopGroup loop = new NioEventLoopGroup(1);
  private final LinkedBlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new ArrayList<>();
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
            new CallerConnections(timers, MEMORY_BYTES, MEMORY_BYTES, MEMORY_BYTES),
            MAX_CONNECTIONS);
    listener.listen(new InetSocketAddress("127.0.0.1", port));
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket s : sockets) {
      s.close();
    }
    listener.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket connect() throws IOException {
    Socket s = new Socket("127.0.0.1", port);
    s.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(s);
    return s;
  }

  private static void send(Socket s) throws IOException {
    s.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
  }

  private HttpCall nextCall() throws InterruptedException {
    HttpCall c = calls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertTrue(c != null, "no request");
    return c;
  }

  private void answer(HttpCall c) {
    loop.execute(() -> c.answer(HttpResponseStatus.OK, "text/plain", "ok"));
  }

  /** Returns the head of an answer, empty if the connection ends before. */
  private static String readHead(Socket s) throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
    StringBuilder head = new StringBuilder();
    for (String l = in.readLine(); l != null && !l.isEmpty(); l = in.readLine()) {
      head.append(l).append('\n');
    }
    return head.toString();
  }

  private static boolean isEnded(Socket s) {
    try {
      return s.getInputStream().read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  /** Guards against idle connections that keep ordinary callers out. */
  @Test
  void longestIdleConnectionIsClosed() throws Exception {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      connect();
      TimeUnit.MILLISECONDS.sleep(20);
    }
    Socket caller = connect();
    send(caller);
    answer(nextCall());
    assertTrue(readHead(caller).startsWith("HTTP/1.1 200"));
    assertTrue(isEnded(sockets.get(0)));
  }

  /** Guards against incomplete requests that keep ordinary callers out. */
  @Test
  void slowRequestIsClosed() throws Exception {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      connect().getOutputStream().write("GET /x HT".getBytes(StandardCharsets.ISO_8859_1));
    }
    // A request counts as slow after a second.
    TimeUnit.MILLISECONDS.sleep(1_200);
    Socket caller = connect();
    send(caller);
    answer(nextCall());
    assertTrue(readHead(caller).startsWith("HTTP/1.1 200"));
  }

  /** Guards against callers who lose their answers to new connections. */
  @Test
  void callersWhoWaitForAnswersAreKept() throws Exception {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      send(connect());
    }
    List<HttpCall> waiting = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      waiting.add(nextCall());
    }
    assertTrue(isEnded(connect()));
    waiting.forEach(this::answer);
    for (Socket s : sockets.subList(0, MAX_CONNECTIONS)) {
      String head = readHead(s);
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      // Others were turned away, so its place is needed.
      assertTrue(head.contains("onnection: close"), head);
    }
  }

  /** Guards against connections that end although nobody else needs their place. */
  @Test
  void connectionsAreKeptWithoutCrowd() throws Exception {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      Socket s = connect();
      for (int k = 0; k < 2; k++) {
        send(s);
        answer(nextCall());
        String head = readHead(s);
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertEquals(-1, head.indexOf("onnection: close"), head);
        s.getInputStream().skip(0);
      }
    }
  }
}
