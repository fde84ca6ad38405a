package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.ebonypond.ledger.StoredAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the clients of the product's own interface against answers that have neither a length nor
 * chunks and end with their connection.
 */
class UnframedEngineTest {
  private static final String CHUNK = "id: 0\\ndata: {}\\n\\n";

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

  /** Answers one request on each connection and ends it, by a reset if asked to. */
  private void serve(String answer, boolean reset) {
    serve(() -> answer, reset);
  }

  private void serve(Supplier<String> answer, boolean reset) {
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  try (Socket s = server.accept()) {
                    connections.incrementAndGet();
                    s.getInputStream().read(new byte[4_096]);
                    OutputStream out = s.getOutputStream();
                    out.write(answer.get().getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    if (reset) {
                      // The client reads what was written before the reset discards it.
                      Thread.sleep(200);
                      s.setSoLinger(true, 0);
                    }
                  }
                }
              } catch (IOException | InterruptedException e) {
                // The socket was closed at the end of the test.
                return;
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private String streamOutcome() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    AtomicInteger chunks = new AtomicInteger();
    loop.engines()
        .start(
            new EngineRequest("r", "127.0.0.1:" + server.getLocalPort(), "b", "{}", 0, 5),
            new EngineListener() {
              @Override
              public void onChunk(long offset, String json) {
                chunks.incrementAndGet();
              }

              @Override
              public void onDone() {
                outcome.complete("done " + chunks.get());
              }

              @Override
              public void onFailure(FailureKind kind, String detail) {
                outcome.complete(kind.name() + " " + chunks.get());
              }
            });
    return outcome.get(20, TimeUnit.SECONDS);
  }

  /** Guards against a stream that broke off and is taken for a complete one. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      ignoreLeadingAndTrailingWhitespace = false,
      value = {
        CHUNK + "data: [DONE]\\n\\n|false|done 1",
        CHUNK + "|false|BROKEN 1",
        CHUNK + "data: [DO|false|BROKEN 1",
        CHUNK + "data: [DONE]\\n|false|BROKEN 1",
        CHUNK + "id: 1\\nda|false|BROKEN 1",
        CHUNK + "|true|BROKEN 1",
        "|false|BROKEN 0",
      })
  void streamIsCompleteOnlyWithItsEndMarker(String events, boolean reset, String expected)
      throws Exception {
    String text = events == null ? "" : events.replace("\\n", "\n");
    serve(
        "HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\nContent-Type: text/event-stream\r\n\r\n" + text,
        reset);
    assertEquals(expected, streamOutcome());
  }

  private StoredAnswer call() throws Exception {
    return loop.services()
        .call(
            new ServiceRequest(
                "r",
                "127.0.0.1:" + server.getLocalPort(),
                "b",
                "GET",
                "/x",
                List.of(),
                new byte[0],
                5_000))
        .get(20, TimeUnit.SECONDS);
  }

  /** Guards against a whole answer that is lost, or a connection that is used after its end. */
  @Test
  void wholeAnswerEndsWithItsConnection() throws Exception {
    serve("HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\n\r\nwhole", false);
    for (int i = 1; i <= 3; i++) {
      assertEquals("whole", new String(call().body(), StandardCharsets.ISO_8859_1));
      assertEquals(i, connections.get());
    }
  }

  /** Guards against a truncated answer that reaches the caller as a complete one. */
  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Length: 9\r\n"})
  void answerEndedByResetIsNotComplete(String length) throws Exception {
    serve("HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\n" + length + "\r\nhalf", true);
    String outcome;
    try {
      outcome = new String(call().body(), StandardCharsets.ISO_8859_1);
    } catch (ExecutionException e) {
      outcome = ((BackendFailure) e.getCause()).kind().name();
    }
    assertEquals("BROKEN", outcome);
  }

  private String callOutcome() throws Exception {
    try {
      return "status " + call().status();
    } catch (ExecutionException e) {
      return ((BackendFailure) e.getCause()).kind().name();
    }
  }

  /** Guards against an empty success for an answer whose head broke off. */
  @ParameterizedTest
  @ValueSource(
      strings = {"Content-Length: 9\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"})
  void answerWhoseHeadBreaksOffIsNotComplete(String framing) throws Exception {
    String head = "HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\n" + framing;
    serveGrowingPartsOf(head);
    for (int bytes = 1; bytes < head.length(); bytes++) {
      assertEquals("BROKEN", callOutcome(), bytes + " bytes");
    }
  }

  /** Guards against a complete stream without any chunk for a head that broke off. */
  @ParameterizedTest
  @ValueSource(strings = {"Transfer-Encoding: chunked\r\n\r\n", "\r\n"})
  void streamWhoseHeadBreaksOffIsNotComplete(String framing) throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\nContent-Type: text/event-stream\r\n" + framing;
    serveGrowingPartsOf(head);
    for (int bytes = 1; bytes < head.length(); bytes++) {
      assertEquals("BROKEN 0", streamOutcome(), bytes + " bytes");
    }
  }

  /** Answers on each connection with one byte more than on the one before, and closes it. */
  private void serveGrowingPartsOf(String head) {
    serve(() -> head.substring(0, connections.get()), false);
  }
}
