package org.ebonypond.server.backend;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.StoredAnswer;
import ratpack.exec.ExecController;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Implementation of {@link ServiceClient} over HTTP. */
public final class RatpackServiceClient implements ServiceClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "transfer-encoding",
          "te",
          "trailer",
          "upgrade",
          "proxy-authenticate",
          "proxy-authorization",
          "content-length");

  private final ExecController controller;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param controller runs the HTTP calls
   * @param client opens a connection for each call, so that a lost one cannot have been closed
   *     before the request was sent, and no late answer to an earlier call can arrive on it
   * @throws IllegalArgumentException if the client reuses connections: answers of plain services
   *     have no identifier
   */
  public RatpackServiceClient(ExecController controller, HttpClient client) {
    if (client.getPoolSize() > 0) {
      throw new IllegalArgumentException("the client reuses connections");
    }
    this.controller = controller;
    this.client = client;
  }

  @Override
  public CompletableFuture<StoredAnswer> call(ServiceRequest r) {
    CompletableFuture<StoredAnswer> out = new CompletableFuture<>();
    controller
        .fork()
        .onError(t -> fail(out, RatpackEngineClient.kindOf(t), String.valueOf(t)))
        .start(
            e ->
                client
                    .request(URI.create("http://" + r.address() + r.path()), s -> configure(s, r))
                    .then(answer -> onResponse(out, r, answer)));
    return out;
  }

  private static void configure(RequestSpec s, ServiceRequest r) throws Exception {
    s.method(r.method())
        .connectTimeout(CONNECT_TIMEOUT)
        .readTimeout(Duration.ofMillis(Math.max(1, r.timeoutMillis())))
        .redirects(0)
        .headers(
            h -> {
              r.headers().forEach(x -> h.set(x.name(), x.value()));
              h.set(RatpackEngineClient.REQUEST_ID, r.requestId());
              h.set(RatpackEngineClient.BOOT, r.boot());
            });
    if (r.body().length > 0) {
      s.body(b -> b.bytes(r.body()));
    }
  }

  private static void onResponse(
      CompletableFuture<StoredAnswer> out, ServiceRequest r, ReceivedResponse a) {
    Headers h = a.getHeaders();
    String boot = h.get(RatpackEngineClient.BOOT);
    boolean otherBoot = boot != null && !boot.equals(r.boot());
    if ("true".equals(h.get(RatpackEngineClient.NOT_RUN))) {
      FailureKind kind = otherBoot ? FailureKind.OTHER_BOOT : FailureKind.NOT_RUN;
      fail(out, kind, "status " + a.getStatusCode());
      return;
    }
    List<AnswerHeader> headers = new ArrayList<>();
    for (String name : h.getNames()) {
      if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
        headers.add(new AnswerHeader(name, h.get(name)));
      }
    }
    out.complete(new StoredAnswer(a.getStatusCode(), headers, a.getBody().getBytes(), true));
  }

  private static void fail(CompletableFuture<?> out, FailureKind kind, String detail) {
    out.completeExceptionally(new BackendFailure(kind, detail));
  }
}
