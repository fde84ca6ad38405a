package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonypond.errors.EbonypondException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

/** Tests the engine client against engines whose answers never end. */
class EndlessEngineTest {
  private static final long MAX_BYTES = 24 << 20;
  private static final String CHUNKED =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final ExecController controller = new DefaultExecController(1);
  private final AtomicLong written = new AtomicLong();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private ServerSocket server;
  private RatpackEngineClient client;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    HttpClient http =
        HttpClient.of(c -> c.execController(controller).connectTimeout(Duration.ofSeconds(1)));
    client = new RatpackEngineClient(controller, http);
  }

  @AfterEach
  void stop() throws IOException {
    controller.close();
    server.close();
  }

  private void serveEndless(String first, String repeated) {
    Thread t =
        new Thread(
            () -> {
              try (Socket s = server.accept()) {
                s.getInputStream().read();
                OutputStream out = s.getOutputStream();
                out.write(first.getBytes(StandardCharsets.ISO_8859_1));
                byte[] block =
                    repeated
                        .repeat(16_384 / repeated.length())
                        .getBytes(StandardCharsets.ISO_8859_1);
                while (true) {
                  out.write(block);
                  written.addAndGet(block.length);
                }
              } catch (IOException e) {
                closed.complete(null);
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private String outcome() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    client.start(
        new EngineRequest("r", "127.0.0.1:" + server.getLocalPort(), "b", "{}", 0, 5),
        new EngineListener() {
          @Override
          public void onChunk(long offset, String json) {}

          @Override
          public void onDone() {
            outcome.complete("done");
          }

          @Override
          public void onFailure(FailureKind kind, String detail) {
            outcome.complete(kind.name());
          }
        });
    return outcome.get(20, TimeUnit.SECONDS);
  }

  /** Guards against an engine that occupies a connection and memory with an endless answer. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "200 OK | f\\r\\ndata: xxxxxxxx\\n\\r\\n | BROKEN",
        "200 OK | 8\\r\\n: none\\n\\n\\r\\n | BROKEN",
        "200 OK | 8\\r\\nxxxxxxx\\n\\r\\n | BROKEN",
        "200 OK | e\\r\\ndata: [DONE]\\n\\n\\r\\n | done",
        "503 Full | 8\\r\\nxxxxxxxx\\r\\n | BROKEN",
        "429 Full | 8\\r\\nxxxxxxxx\\r\\n | NOT_RUN",
      })
  void endlessAnswerIsClosed(String status, String repeated, String expected) throws Exception {
    String block = repeated.replace("\\r", "\r").replace("\\n", "\n");
    serveEndless("HTTP/1.1 " + status + "\r\nEbonypond-Boot: b\r\n" + CHUNKED, block);
    assertEquals(expected, outcome());
    closed.get(10, TimeUnit.SECONDS);
    assertTrue(written.get() <= MAX_BYTES, written + " bytes");
  }

  /** Guards against an endless event of many short lines that exhausts the memory. */
  @Test
  void eventOfManyLinesIsBounded() {
    SseParser p = new SseParser(e -> {});
    byte[] line = "data: 0123456789\n".getBytes(StandardCharsets.UTF_8);
    assertThrows(
        EbonypondException.class,
        () -> {
          for (int i = 0; i < 1 << 20; i++) {
            p.feed(line);
          }
        });
  }
}
