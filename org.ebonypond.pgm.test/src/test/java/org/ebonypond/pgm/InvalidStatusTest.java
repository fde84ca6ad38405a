package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries in trouble whose answers have a status that does not exist. */
class InvalidStatusTest {
  private static final String HEAD = "HTTP/1.1 %s Status\r\nContent-Length: 2\r\n\r\n{}";

  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private void serve(String status) {
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  try (Socket s = server.accept()) {
                    s.getInputStream().read(new byte[4_096]);
                    byte[] answer = HEAD.formatted(status).getBytes(StandardCharsets.ISO_8859_1);
                    s.getOutputStream().write(answer);
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

  private EntryClient client() {
    return new EntryClient(
        List.of("127.0.0.1:" + server.getLocalPort()),
        Duration.ofSeconds(5),
        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
        millis -> true);
  }

  /** Guards against a change that is reported as refused although it may have been made. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "020", "099", "600", "999"})
  void outcomeOfChangeIsUnknown(String status) {
    serve(status);
    ToolException e =
        assertThrows(
            ToolException.class,
            () -> client().change("PUT", "/admin/v1/document", "text/plain", "x", "op-1"));
    assertEquals(ExitCode.UNKNOWN, e.exitCode());
  }

  /** Guards against an answer that is none and counts as one of a reachable entry. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "020", "099", "600", "999"})
  void entryIsNotReached(String status) {
    serve(status);
    ToolException e = assertThrows(ToolException.class, () -> client().get("/admin/v1/status"));
    assertEquals(ExitCode.UNREACHABLE, e.exitCode());
  }
}
