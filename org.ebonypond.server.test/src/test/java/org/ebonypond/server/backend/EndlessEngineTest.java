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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.group.EngineState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the engine client against engines whose answers never end. */
@Tag("deployed-heap")
class EndlessEngineTest {
  private static final long MAX_BYTES = 24 << 20;
  private static final String CHUNKED =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nEbonypond-Boot: b\r\nContent-Type: text/event-stream\r\n\r\n"
          + "id: 0\ndata: {}\n\ndata: [DONE]\n\n";

  /** Where an engine gives up, so that a client without a limit does not fill the memory. */
  private static final long STOP_BYTES = 512L << 20;

  private static final int ENDLESS_CONNECTIONS = 48;

  /** The bytes that an engine sends first, and those that it then repeats. */
  private enum Endless {
    STATUS_LINE("", "x"),
    EMPTY_LINES("", "\r\n"),
    HEADERS("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),
    CONTINUE_HEADS("", "HTTP/1.1 100 Continue\r\n\r\n"),
    INTERIM_HEADS("", "HTTP/1.1 102 Processing\r\n\r\n"),
    BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "xxxxxxxx"),
    CHUNKED_BODY("HTTP/1.1 200 OK\r\n" + CHUNKED, "8\r\nxxxxxxxx\r\n"),
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n" + CHUNKED + "8;", "x"),
    TRAILERS("HTTP/1.1 200 OK\r\n" + CHUNKED + "0\r\n", "X-More: more\r\n"),
    EVENT_WITHOUT_END("HTTP/1.1 200 OK\r\n" + CHUNKED, "e\r\ndata: xxxxxx\r\n"),
    COMMENTS("HTTP/1.1 200 OK\r\n" + CHUNKED, "8\r\n: none\n\n\r\n"),
    BODY_THAT_IS_NO_STREAM("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx"),
    ERROR_BODY("HTTP/1.1 500 E\r\n\r\n", "xxxxxxxx");

    private final String first;
    private final String repeated;

    Endless(String first, String repeated) {
      this.first = first;
      this.repeated = repeated;
    }
  }

  private final BackendLoop loop = new BackendLoop();
  private final AtomicLong written = new AtomicLong();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private final Semaphore closedConnections = new Semaphore(0);
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

  private void serveEndless(String first, String repeated) {
    serveEndless(server, first, repeated);
  }

  /** Answers one request without end. */
  private void serveEndless(ServerSocket engine, String first, String repeated) {
    startDaemon(
        () -> {
          try (Socket s = engine.accept()) {
            s.getInputStream().read();
            OutputStream out = s.getOutputStream();
            out.write(first.getBytes(StandardCharsets.ISO_8859_1));
            byte[] block =
                repeated.repeat(16_384 / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
            while (written.get() < STOP_BYTES) {
              out.write(block);
              written.addAndGet(block.length);
            }
          } catch (IOException e) {
            closed.complete(null);
            closedConnections.release();
          }
        });
  }

  /** Answers each request with the same bytes and ends its connection. */
  private static void serve(ServerSocket engine, String answer) {
    startDaemon(
        () -> {
          while (!engine.isClosed()) {
            try (Socket s = engine.accept()) {
              s.getInputStream().read(new byte[4_096]);
              s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
              // The socket was closed at the end of the test.
              return;
            }
          }
        });
  }

  private static void startDaemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }

  private String outcome() throws Exception {
    return outcome(server);
  }

  private String outcome(ServerSocket engine) throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loop.engines()
        .start(
            new EngineRequest("r", "127.0.0.1:" + engine.getLocalPort(), "b", "{}", 0, 5),
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

  private void assertClosedAndBounded() throws Exception {
    closed.get(10, TimeUnit.SECONDS);
    assertTrue(written.get() <= MAX_BYTES, written + " bytes");
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
    assertClosedAndBounded();
  }

  /**
   * Guards against an engine that occupies a connection, and all memory, with a head or a frame
   * without end.
   */
  @ParameterizedTest
  @EnumSource(Endless.class)
  void answerWithEndlessPartIsClosed(Endless e) throws Exception {
    serveEndless(e.first, e.repeated);
    assertEquals("BROKEN", outcome());
    assertClosedAndBounded();
  }

  /**
   * Guards against an engine that fills the memory of the leader, or occupies its connections, with
   * an answer to an order.
   */
  @ParameterizedTest
  @EnumSource(Endless.class)
  void endlessAnswerToControlCallIsClosed(Endless e) throws Exception {
    serveEndless(e.first, e.repeated);
    CompletableFuture<EngineState> state =
        loop.admin().readState("127.0.0.1:" + server.getLocalPort());
    assertThrows(ExecutionException.class, () -> state.get(20, TimeUnit.SECONDS));
    assertClosedAndBounded();
  }

  /** Guards against requests to other engines that end with those to endless ones. */
  @Test
  void soundEngineIsServedBesideEndlessOnes() throws Exception {
    try (ServerSocket sound = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
      serve(sound, SOUND);
      List<CompletableFuture<String>> failures = new ArrayList<>();
      ExecutorService callers = Executors.newCachedThreadPool();
      for (int i = 0; i < ENDLESS_CONNECTIONS; i++) {
        Endless e = Endless.values()[i % Endless.values().length];
        ServerSocket engine = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        serveEndless(engine, e.first, e.repeated);
        failures.add(CompletableFuture.supplyAsync(() -> outcomeOrError(engine), callers));
      }
      for (int i = 0; i < 20; i++) {
        assertEquals("done", outcome(sound));
      }
      for (CompletableFuture<String> f : failures) {
        assertEquals("BROKEN", f.get(20, TimeUnit.SECONDS));
      }
      callers.shutdown();
      assertTrue(closedConnections.tryAcquire(ENDLESS_CONNECTIONS, 10, TimeUnit.SECONDS));
    }
  }

  private String outcomeOrError(ServerSocket engine) {
    try {
      return outcome(engine);
    } catch (Exception e) {
      return String.valueOf(e);
    }
  }

  /** Guards against a call that one interim head of a sound engine ends. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void interimHeadDoesNotEndTheCall(String status) throws Exception {
    serve(server, "HTTP/1.1 " + status + "\r\n\r\n" + SOUND);
    assertEquals("done", outcome());
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
