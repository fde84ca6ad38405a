package org.ebonypond.server.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ebonypond.errors.EbonypondException;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.ExecController;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;
import ratpack.http.client.StreamedResponse;

/** Implementation of {@link EngineClient} over HTTP with server-sent events. */
public final class RatpackEngineClient implements EngineClient {
  /** The header with the identifier of the request. */
  public static final String REQUEST_ID = "Ebonypond-Request-Id";

  /** The header with the expected boot identity, or in an answer with the actual one. */
  public static final String BOOT = "Ebonypond-Boot";

  /** The header by which a backend server declares that it did not run a request. */
  public static final String NOT_RUN = "Ebonypond-Not-Run";

  private static final String DONE = "[DONE]";

  /** The type of events without a type. */
  private static final String MESSAGE = "message";

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int CLIENT_ERROR = 400;
  private static final int SERVER_ERROR = 500;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Bytes of an unneeded body that are read so that the connection can be reused; a longer body
   * closes it.
   */
  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private final ExecController controller;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param controller runs the HTTP calls
   * @param client the HTTP client
   */
  public RatpackEngineClient(ExecController controller, HttpClient client) {
    this.controller = controller;
    this.client = client;
  }

  @Override
  public Attempt start(EngineRequest request, EngineListener listener) {
    RunningAttempt a = new RunningAttempt(request, listener);
    controller.fork().onError(t -> a.fail(kindOf(t), String.valueOf(t))).start(e -> a.run());
    return a;
  }

  /**
   * Returns {@code NOT_SENT} if connecting failed, so that nothing was sent, else {@code BROKEN}.
   */
  static FailureKind kindOf(Throwable t) {
    for (Throwable c = t; c != null; c = c.getCause()) {
      boolean connecting = c instanceof ConnectException || c instanceof ConnectTimeoutException;
      if (connecting) {
        return FailureKind.NOT_SENT;
      }
    }
    return FailureKind.BROKEN;
  }

  private void cancelOnEngine(EngineRequest request) {
    URI uri =
        URI.create(
            "http://" + request.address() + "/v1/requests/" + request.requestId() + "/cancel");
    controller
        .fork()
        .onError(t -> {})
        .start(e -> client.request(uri, spec -> spec.post()).then(r -> {}));
  }

  private final class RunningAttempt implements Attempt, Subscriber<ByteBuf> {
    private final EngineRequest request;
    private final EngineListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final SseParser parser = new SseParser(this::onEvent);
    private volatile @Nullable Subscription subscription;
    private long bytesAfterEnd;

    RunningAttempt(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void run() {
      URI uri = URI.create("http://" + request.address() + "/v1/chat/completions");
      client
          .requestStream(
              uri,
              spec ->
                  spec.post()
                      .connectTimeout(CONNECT_TIMEOUT)
                      .readTimeout(Duration.ofMinutes(10))
                      .redirects(0)
                      .headers(
                          h ->
                              h.set("Content-Type", "application/json")
                                  .set(REQUEST_ID, request.requestId())
                                  .set(BOOT, request.boot())
                                  .set("Ebonypond-Resume-Offset", request.resumeOffset())
                                  .set("Ebonypond-Priority", request.priority()))
                      .body(b -> b.text(request.body())))
          .onError(t -> fail(kindOf(t), String.valueOf(t)))
          .then(this::onResponse);
    }

    private void onResponse(StreamedResponse r) {
      int status = r.getStatusCode();
      if (status >= CLIENT_ERROR) {
        onErrorStatus(r, status);
        return;
      }
      String boot = r.getHeaders().get(BOOT);
      if (boot != null && !boot.equals(request.boot())) {
        // The engine has restarted. It may have run the request nevertheless, if it ignores the
        // expected boot identity.
        r.getBody().subscribe(new Discard());
        fail(FailureKind.OTHER_BOOT, "boot identity " + boot);
        return;
      }
      if (status != OK || !isEventStream(r.getHeaders())) {
        r.getBody().subscribe(new Discard());
        fail(FailureKind.BROKEN, "no event stream, status " + status);
        return;
      }
      r.getBody().subscribe(this);
    }

    /** Other text may look like events; with an encoding it is not what the engine sent. */
    private boolean isEventStream(Headers h) {
      String type = h.get(HttpHeaderNames.CONTENT_TYPE);
      CharSequence mimeType = type == null ? null : HttpUtil.getMimeType(type);
      return mimeType != null
          && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mimeType)
          && h.get(HttpHeaderNames.CONTENT_ENCODING) == null;
    }

    private void onErrorStatus(StreamedResponse r, int status) {
      boolean notRun = "true".equals(r.getHeaders().get(NOT_RUN));
      String boot = r.getHeaders().get(BOOT);
      boolean otherBoot = boot != null && !boot.equals(request.boot());
      r.getBody().subscribe(new Discard());
      if (status == CONFLICT && otherBoot) {
        fail(FailureKind.OTHER_BOOT, "boot identity " + boot);
      } else if (notRun || status == TOO_MANY_REQUESTS) {
        fail(FailureKind.NOT_RUN, "status " + status);
      } else if (status < SERVER_ERROR) {
        fail(FailureKind.REJECTED, "status " + status);
      } else {
        fail(FailureKind.BROKEN, "status " + status);
      }
    }

    private void onEvent(SseEvent e) {
      if (ended.get()) {
        return;
      }
      if (!e.type().isEmpty() && !e.type().equals(MESSAGE)) {
        fail(FailureKind.BROKEN, "an event of another type than that of chunks");
        return;
      }
      if (e.data().equals(DONE)) {
        if (ended.compareAndSet(false, true)) {
          listener.onDone();
        }
        return;
      }
      listener.onChunk(Long.parseLong(e.id()), e.data());
    }

    @Override
    public void onSubscribe(Subscription s) {
      subscription = s;
      s.request(Long.MAX_VALUE);
      if (ended.get()) {
        s.cancel();
      }
    }

    @Override
    public void onNext(ByteBuf buf) {
      byte[] bytes = ByteBufUtil.getBytes(buf);
      buf.release();
      if (ended.get()) {
        // Reads a short rest of the body so that the connection can be reused.
        bytesAfterEnd += bytes.length;
        if (bytesAfterEnd > MAX_DISCARDED_BYTES) {
          cancelSubscription();
        }
        return;
      }
      try {
        parser.feed(bytes);
      } catch (EbonypondException | NumberFormatException e) {
        fail(FailureKind.BROKEN, String.valueOf(e.getMessage()));
      }
    }

    @Override
    public void onError(Throwable t) {
      fail(FailureKind.BROKEN, String.valueOf(t));
    }

    @Override
    public void onComplete() {
      fail(FailureKind.BROKEN, "the answer ended before its end marker");
    }

    void fail(FailureKind kind, String detail) {
      if (ended.compareAndSet(false, true)) {
        cancelSubscription();
        listener.onFailure(kind, detail);
      }
    }

    @Override
    public void stop() {
      if (ended.compareAndSet(false, true)) {
        cancelSubscription();
        cancelOnEngine(request);
      }
    }

    private void cancelSubscription() {
      Subscription s = subscription;
      if (s != null) {
        s.cancel();
      }
    }
  }

  /** Reads and drops a short body to its end so that the connection can be reused. */
  private static final class Discard implements Subscriber<ByteBuf> {
    private @Nullable Subscription subscription;
    private long bytes;

    @Override
    public void onSubscribe(Subscription s) {
      subscription = s;
      s.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(ByteBuf buf) {
      bytes += buf.readableBytes();
      buf.release();
      Subscription s = subscription;
      if (s != null && bytes > MAX_DISCARDED_BYTES) {
        s.cancel();
      }
    }

    @Override
    public void onError(Throwable t) {}

    @Override
    public void onComplete() {}
  }
}
