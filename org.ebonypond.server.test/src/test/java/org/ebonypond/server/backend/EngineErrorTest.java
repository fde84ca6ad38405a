package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers of an engine that are no stream of chunks, while a caller waits for the next chunk. */
class EngineErrorTest {
  private static final long OFFSET = 5;

  /** What an engine would send to continue the stream. */
  private static final String CHUNK = "id: 5\\ndata: {\"choices\":[]}\\n\\n";

  private static final String EVENTS = "Content-Type: text/event-stream\\r\\n";

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

  /** Answers each request with the same bytes and closes its connection. */
  private void serve(String answer) {
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  try (Socket s = server.accept()) {
                    connections.incrementAndGet();
                    s.getInputStream().read(new byte[4_096]);
                    s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                  }
                }
              } catch (IOException e) {
                // The socket was closed at the end of the test.
                return;
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /**
   * Guards against the text of an error among the chunks of an answer that another engine began.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      ignoreLeadingAndTrailingWhitespace = false,
      value = {
        "500 E|" + EVENTS + "|" + CHUNK + "|BROKEN",
        "503 E||" + CHUNK + "|BROKEN",
        "503 E|Ebonypond-Not-Run: true\\r\\n|" + CHUNK + "|NOT_RUN",
        "429 E||" + CHUNK + "|NOT_RUN",
        "404 E|" + EVENTS + "|" + CHUNK + "|REJECTED",
        "301 E|Location: /again\\r\\n|" + CHUNK + "|BROKEN",
        "307 E|Location: /again\\r\\n|" + CHUNK + "|BROKEN",
        "304 E|" + EVENTS + "|" + CHUNK + "|BROKEN",
        "204 E|" + EVENTS + "||BROKEN",
        "206 E|" + EVENTS + "|" + CHUNK + "|BROKEN",
        "200 OK|Content-Type: text/plain\\r\\n|" + CHUNK + "|BROKEN",
        "200 OK|Content-Type: application/json\\r\\n|" + CHUNK + "|BROKEN",
        "200 OK||" + CHUNK + "|BROKEN",
        "200 OK|Content-Encoding: br\\r\\n" + EVENTS + "|" + CHUNK + "|BROKEN",
        "200 OK|" + EVENTS + "|oops\\n\\n|BROKEN",
        "200 OK|" + EVENTS + "|data: {\"choices\":[]}\\n\\n|BROKEN",
        "200 OK|" + EVENTS + "|event: error\\n" + CHUNK + "|BROKEN",
        "200 OK|" + EVENTS + "|event: message\\n" + CHUNK + "|chunk {\"choices\":[]}",
      })
  void answerThatIsNoStreamOfChunksDeliversNone(
      String status, String headers, String body, String expected) throws Exception {
    serve(
        "HTTP/1.1 "
            + status
            + "\r\nEbonypond-Boot: b\r\n"
            + unescape(headers)
            + "\r\n"
            + unescape(body));
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loop.engines()
        .start(
            new EngineRequest("r", "127.0.0.1:" + server.getLocalPort(), "b", "{}", OFFSET, 5),
            new EngineListener() {
              @Override
              public void onChunk(long offset, String json) {
                outcome.complete("chunk " + json);
              }

              @Override
              public void onDone() {
                outcome.complete("done");
              }

              @Override
              public void onFailure(FailureKind kind, String detail) {
                outcome.complete(kind.name());
              }
            });
    assertEquals(expected, outcome.get(20, TimeUnit.SECONDS));
    assertEquals(1, connections.get());
  }

  private static String unescape(String s) {
    return s == null ? "" : s.replace("\\r", "\r").replace("\\n", "\n");
  }
}
