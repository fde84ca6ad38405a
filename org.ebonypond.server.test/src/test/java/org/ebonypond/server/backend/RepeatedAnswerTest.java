package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.ebonypond.ledger.StoredAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the clients of the product's own interface against a backend server that writes its first
 * refusal once more before each later answer on a connection.
 */
class RepeatedAnswerTest {
  private static final String REFUSAL =
      "HTTP/1.1 503 Busy\r\nEbonypond-Not-Run: true\r\nContent-Length: 0\r\n\r\n";

  private final BackendLoop loop = new BackendLoop();
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
  }

  @AfterEach
  void stop() throws IOException {
    loop.close();
    server.close();
  }

  /**
   * Accepts connections and answers each request on them, after the refusal for all but the first.
   *
   * @param answer returns the answer for the identifier of a request
   */
  private void serve(UnaryOperator<String> answer) {
    startDaemon(
        () -> {
          while (true) {
            Socket s = server.accept();
            connections.incrementAndGet();
            startDaemon(() -> serve(s, answer));
          }
        });
  }

  private static void serve(Socket s, UnaryOperator<String> answer) throws IOException {
    try (s) {
      s.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
      String before = "";
      for (String id = readRequest(in); id != null; id = readRequest(in)) {
        String text = before + answer.apply(id);
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        before = REFUSAL;
      }
    }
  }

  /** Reads a request and returns its identifier, or null at the end of the connection. */
  private static String readRequest(BufferedReader in) throws IOException {
    String id = "";
    int length = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.isEmpty()) {
        in.skip(length);
        return id;
      }
      String[] header = line.toLowerCase().split(": *", 2);
      if (header[0].equals("content-length")) {
        length = Integer.parseInt(header[1]);
      } else if (header[0].equals("ebonypond-request-id")) {
        id = header[1];
      }
    }
    return null;
  }

  private static String answer(String header, String body) {
    return "HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\n"
        + header
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void startDaemon(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The socket was closed at the end of the test.
                return;
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private String callOutcome(String method, String id) throws Exception {
    CompletableFuture<StoredAnswer> answer =
        loop.services()
            .call(
                new ServiceRequest(
                    id, address(), "b", method, "/x", List.of(), new byte[0], 5_000));
    try {
      return new String(answer.get(20, TimeUnit.SECONDS).body(), StandardCharsets.ISO_8859_1);
    } catch (ExecutionException e) {
      return ((BackendFailure) e.getCause()).kind().name();
    }
  }

  /**
   * Guards against a call that is reported as not run, or runs twice, because an earlier refusal is
   * taken for its answer, and against calls that get the answers to others from then on.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "POST"})
  void repeatedRefusalIsNotTheAnswerToTheNextCall(String method) throws Exception {
    serve(id -> answer("Content-Type: text/plain", id));
    for (int i = 1; i <= 4; i++) {
      assertEquals("r" + i, callOutcome(method, "r" + i));
    }
    assertEquals(4, connections.get());
  }

  /** Guards against a completion that runs twice because of an earlier refusal. */
  @Test
  void repeatedRefusalIsNotTheAnswerToTheNextCompletion() throws Exception {
    String events = "id: 0\ndata: {}\n\ndata: [DONE]\n\n";
    serve(id -> answer("Content-Type: text/event-stream", events));
    for (int i = 1; i <= 4; i++) {
      assertEquals("done", streamOutcome("r" + i));
    }
    assertEquals(4, connections.get());
  }

  private String streamOutcome(String id) throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loop.engines()
        .start(
            new EngineRequest(id, address(), "b", "{}", 0, 5),
            new EngineListener() {
              @Override
              public void onChunk(long offset, String json) {}

              @Override
              public void onDone() {
                outcome.complete("done");
              }

              @Override
              public void onFailure(FailureKind kind, String detail) {
                outcome.complete(kind + ": " + detail);
              }
            });
    return outcome.get(20, TimeUnit.SECONDS);
  }
}
