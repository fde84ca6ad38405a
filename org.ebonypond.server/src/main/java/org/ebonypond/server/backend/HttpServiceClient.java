package org.ebonypond.server.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.StoredAnswer;

/**
 * Implementation of {@link ServiceClient} over HTTP. Each call opens a connection: a lost one
 * cannot have been closed before the request was sent, and no late answer to an earlier call can
 * arrive on it. Answers of plain services have no identifier.
 */
public final class HttpServiceClient implements ServiceClient {
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

  private final BackendHttpClient client;
  private final int maxBodyBytes;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param maxBodyBytes the size above which the body of an answer makes the call fail, in bytes
   */
  public HttpServiceClient(BackendHttpClient client, int maxBodyBytes) {
    this.client = client;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public CompletableFuture<StoredAnswer> call(ServiceRequest r) {
    CompletableFuture<StoredAnswer> out = new CompletableFuture<>();
    HttpRequest head;
    try {
      head = requestHead(r);
    } catch (IllegalArgumentException e) {
      out.completeExceptionally(new BackendFailure(FailureKind.NOT_SENT, String.valueOf(e)));
      return out;
    }
    client
        .call(r.address(), head, r.body(), r.timeoutMillis(), maxBodyBytes)
        .whenComplete(
            (a, failure) -> {
              if (failure == null) {
                complete(out, r, a);
              } else {
                out.completeExceptionally(failure);
              }
            });
    return out;
  }

  private static HttpRequest requestHead(ServiceRequest r) {
    HttpRequest head = BackendHttpClient.request(r.method(), r.address(), r.path());
    HttpHeaders h = head.headers();
    r.headers().forEach(x -> h.set(x.name(), x.value()));
    HOP_BY_HOP_HEADERS.forEach(h::remove);
    h.set(HttpHeaderNames.HOST, r.address());
    h.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    h.set(BackendHeaders.REQUEST_ID, r.requestId());
    h.set(BackendHeaders.BOOT, r.boot());
    boolean mayHaveBody = !head.method().equals(HttpMethod.GET) && !isHead(r);
    if (r.body().length > 0 || mayHaveBody) {
      h.set(HttpHeaderNames.CONTENT_LENGTH, r.body().length);
    }
    return head;
  }

  private static boolean isHead(ServiceRequest r) {
    return r.method().equals(HttpMethod.HEAD.name());
  }

  private static void complete(
      CompletableFuture<StoredAnswer> out, ServiceRequest r, BackendAnswer a) {
    HttpHeaders h = a.headers();
    String boot = h.get(BackendHeaders.BOOT);
    boolean otherBoot = boot != null && !boot.equals(r.boot());
    if ("true".equals(h.get(BackendHeaders.NOT_RUN))) {
      FailureKind kind = otherBoot ? FailureKind.OTHER_BOOT : FailureKind.NOT_RUN;
      out.completeExceptionally(new BackendFailure(kind, "status " + a.status()));
      return;
    }
    List<AnswerHeader> headers = new ArrayList<>();
    for (String name : h.names()) {
      if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
        headers.add(new AnswerHeader(name, h.get(name)));
      }
    }
    out.complete(new StoredAnswer(a.status(), headers, a.body(), true));
  }
}
