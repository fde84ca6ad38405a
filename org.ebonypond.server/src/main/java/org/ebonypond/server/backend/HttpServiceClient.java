package org.ebonypond.server.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.http1.BackendExchange;
import org.ebonypond.server.http1.BackendListener;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

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

  private final EventLoop loop;
  private final BackendPool pool;
  private final TimerService timers;
  private final int maxBodyBytes;

  /**
   * Creates a client.
   *
   * @param loop the event loop of the pool
   * @param pool opens the connections
   * @param timers schedules the timeouts of calls
   * @param maxBodyBytes the size above which the body of an answer makes the call fail, in bytes
   */
  public HttpServiceClient(
      EventLoop loop, BackendPool pool, TimerService timers, int maxBodyBytes) {
    this.loop = loop;
    this.pool = pool;
    this.timers = timers;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public CompletableFuture<StoredAnswer> call(ServiceRequest r) {
    Call c = new Call(r);
    loop.execute(c::start);
    return c.out;
  }

  private static HttpRequest requestHead(ServiceRequest r) {
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(r.method()), r.path());
    HttpHeaders h = head.headers();
    r.headers().forEach(x -> h.set(x.name(), x.value()));
    HOP_BY_HOP_HEADERS.forEach(h::remove);
    h.set(HttpHeaderNames.HOST, r.address());
    h.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    h.set(RatpackEngineClient.REQUEST_ID, r.requestId());
    h.set(RatpackEngineClient.BOOT, r.boot());
    boolean mayHaveBody = !head.method().equals(HttpMethod.GET) && !isHead(r);
    if (r.body().length > 0 || mayHaveBody) {
      h.set(HttpHeaderNames.CONTENT_LENGTH, r.body().length);
    }
    return head;
  }

  private static boolean isHead(ServiceRequest r) {
    return r.method().equals(HttpMethod.HEAD.name());
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** One call, on the event loop. */
  private final class Call implements BackendListener {
    final CompletableFuture<StoredAnswer> out = new CompletableFuture<>();
    private final ServiceRequest request;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable HttpResponse answer;
    private @Nullable BackendExchange exchange;

    Call(ServiceRequest request) {
      this.request = request;
    }

    void start() {
      TimerService.Subscription timeout =
          timers.after(
              Math.max(1, request.timeoutMillis()),
              () -> loop.execute(() -> stop("no answer in time")));
      out.whenComplete((a, failure) -> timeout.cancel());
      try {
        exchange =
            pool.send(
                request.address(),
                address(request.address()),
                requestHead(request),
                Unpooled.wrappedBuffer(request.body()),
                0,
                this);
      } catch (RuntimeException e) {
        fail(FailureKind.NOT_SENT, String.valueOf(e));
      }
    }

    @Override
    public boolean head(HttpResponse h) {
      answer = h;
      return true;
    }

    @Override
    public void content(ByteBuf bytes) {
      if (body.size() + bytes.readableBytes() > maxBodyBytes) {
        stop("the answer is larger than " + maxBodyBytes + " bytes");
      } else if (!out.isDone()) {
        body.writeBytes(ByteBufUtil.getBytes(bytes));
      }
    }

    @Override
    public void end() {
      HttpResponse a = answer;
      if (a == null) {
        fail(FailureKind.BROKEN, "an answer without a head");
        return;
      }
      HttpHeaders h = a.headers();
      String boot = h.get(RatpackEngineClient.BOOT);
      boolean otherBoot = boot != null && !boot.equals(request.boot());
      if ("true".equals(h.get(RatpackEngineClient.NOT_RUN))) {
        FailureKind kind = otherBoot ? FailureKind.OTHER_BOOT : FailureKind.NOT_RUN;
        fail(kind, "status " + a.status().code());
        return;
      }
      List<AnswerHeader> headers = new ArrayList<>();
      for (String name : h.names()) {
        if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
          headers.add(new AnswerHeader(name, h.get(name)));
        }
      }
      out.complete(new StoredAnswer(a.status().code(), headers, body.toByteArray(), true));
    }

    @Override
    public void failed(boolean sent, String reason) {
      fail(sent ? FailureKind.BROKEN : FailureKind.NOT_SENT, reason);
    }

    private void stop(String reason) {
      BackendExchange x = exchange;
      if (x != null && !out.isDone()) {
        x.cancel();
      }
      fail(FailureKind.BROKEN, reason);
    }

    private void fail(FailureKind kind, String detail) {
      out.completeExceptionally(new BackendFailure(kind, detail));
    }
  }
}
