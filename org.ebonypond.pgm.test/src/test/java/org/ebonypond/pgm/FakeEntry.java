package org.ebonypond.pgm;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An HTTP server that gives prepared answers in place of an entry and records the requests. */
final class FakeEntry implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, PreparedAnswer> answers = new ConcurrentHashMap<>();
  private final List<Received> received = new CopyOnWriteArrayList<>();

  FakeEntry() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Prepares an answer; status 0 closes the connection without an answer. */
  FakeEntry answer(String methodAndPath, int status, String body) {
    answers.put(methodAndPath, new PreparedAnswer(status, body));
    return this;
  }

  List<Received> received() {
    return received;
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange x) throws IOException {
    String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String methodAndPath = x.getRequestMethod() + " " + x.getRequestURI();
    String id = x.getRequestHeaders().getFirst("Ebonypond-Operation-Id");
    received.add(new Received(methodAndPath, Optional.ofNullable(id).orElse(""), body));
    PreparedAnswer a = answers.getOrDefault(methodAndPath, new PreparedAnswer(404, "{}"));
    if (a.status() > 0) {
      byte[] bytes = a.body().getBytes(StandardCharsets.UTF_8);
      x.sendResponseHeaders(a.status(), bytes.length == 0 ? -1 : bytes.length);
      x.getResponseBody().write(bytes);
    }
    x.close();
  }

  record PreparedAnswer(int status, String body) {}

  record Received(String methodAndPath, String operationId, String body) {}
}
