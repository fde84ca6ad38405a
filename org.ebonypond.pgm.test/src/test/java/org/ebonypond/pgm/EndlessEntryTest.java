package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Entries whose answers never end. */
class EndlessEntryTest {
  private static final long MAX_BYTES = 64L << 20;

  /** Where an entry gives up, so that a client without a limit does not fill the memory. */
  private static final long STOP_BYTES = 256L << 20;

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private enum Endless {
    STATUS_LINE("", "x"),
    EMPTY_LINES("", "\r\n"),
    HEADERS("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),
    INTERIM_HEADS("", "HTTP/1.1 102 Processing\r\n\r\n"),
    BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx"),
    CHUNKED_BODY("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"),
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", "x"),
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"),
    BODY_THAT_STOPS("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", "");

    private final String first;
    private final String repeated;

    Endless(String first, String repeated) {
      this.first = first;
      this.repeated = repeated;
    }
  }

  private final AtomicLong written = new AtomicLong();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private void serve(Endless e) {
    Thread t =
        new Thread(
            () -> {
              try (Socket s = server.accept()) {
                s.getInputStream().read(new byte[4_096]);
                OutputStream out = s.getOutputStream();
                out.write(e.first.getBytes(StandardCharsets.ISO_8859_1));
                if (e.repeated.isEmpty()) {
                  s.getInputStream().read();
                  closed.complete(null);
                }
                byte[] block =
                    e.repeated
                        .repeat(16_384 / Math.max(1, e.repeated.length()))
                        .getBytes(StandardCharsets.ISO_8859_1);
                while (written.get() < STOP_BYTES && !closed.isDone()) {
                  out.write(block);
                  written.addAndGet(block.length);
                }
              } catch (IOException x) {
                closed.complete(null);
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /** Guards against a tool that hangs, or fills the memory, because of one faulty entry. */
  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"TRAILERS"})
  void endlessAnswerEndsTheAttempt(Endless e) throws Exception {
    assertAttemptEnds(e);
  }

  /** Guards against the same with an answer whose last chunk is followed by endless trailers. */
  @Test
  void endlessTrailersEndTheAttempt() throws Exception {
    assertAttemptEnds(Endless.TRAILERS);
  }

  private void assertAttemptEnds(Endless e) throws Exception {
    serve(e);
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    EntryClient client =
        new EntryClient(
            List.of("127.0.0.1:" + server.getLocalPort()),
            TIMEOUT,
            new PrintStream(err, true, StandardCharsets.UTF_8),
            millis -> true);
    assertTimeoutPreemptively(
        Duration.ofSeconds(15),
        () -> assertThrows(ToolException.class, () -> client.get("/admin/v1/status")));
    awaitNotRead();
    assertTrue(written.get() <= MAX_BYTES, written + " bytes");
  }

  /**
   * Waits until the connection is closed or not read any more. After some broken heads the HTTP
   * client keeps the connection, without reading from it, until the tool exits.
   */
  private void awaitNotRead() throws InterruptedException {
    long before = -1;
    while (!closed.isDone() && written.get() != before) {
      before = written.get();
      TimeUnit.MILLISECONDS.sleep(500);
    }
  }
}
