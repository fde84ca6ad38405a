package org.ebonypond.server.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.server.http1.BackendExchange;
import org.ebonypond.server.http1.BackendListener;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Implementation of {@link EngineClient} over HTTP with server-sent events. Each attempt opens a
 * connection, because the answers of engines have no identifier.
 */
public final class HttpEngineClient implements EngineClient {
  private static final Logger LOG = LoggerFactory.getLogger(HttpEngineClient.class);
  private static final String DONE = "[DONE]";

  /** The type of events without a type. */
  private static final String MESSAGE = "message";

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int CLIENT_ERROR = 400;
  private static final int SERVER_ERROR = 500;

  /**
   * How long an engine may take to end its answer after the end marker, in milliseconds. Closing at
   * once would look to the engine like a caller that disconnected.
   */
  private static final long CLOSE_MILLIS = 1_000;

  /** The size of the rest of an answer after its end marker that is read and dropped, in bytes. */
  private static final int MAX_BYTES_AFTER_END = 64 << 10;

  /** An engine is a few milliseconds away and only has to find the request. */
  private static final long CANCEL_TIMEOUT_MILLIS = 2_000;

  /** The size of the answer to a cancellation that is read, in bytes; it has no content. */
  private static final int MAX_CANCEL_ANSWER_BYTES = 64 << 10;

  private final BackendHttpClient client;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   */
  public HttpEngineClient(BackendHttpClient client) {
    this.client = client;
  }

  @Override
  public Attempt start(EngineRequest request, EngineListener listener) {
    RunningAttempt a = new RunningAttempt(request, listener);
    client.execute(a::run);
    return a;
  }

  private static HttpRequest requestHead(EngineRequest r, int bodyBytes) {
    HttpRequest head =
        BackendHttpClient.request(HttpMethod.POST.name(), r.address(), "/v1/chat/completions");
    head.headers()
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        .set(BackendHeaders.REQUEST_ID, r.requestId())
        .set(BackendHeaders.BOOT, r.boot())
        .set("Ebonypond-Resume-Offset", r.resumeOffset())
        .set("Ebonypond-Priority", r.priority());
    return head;
  }

  private void cancelOnEngine(EngineRequest r) {
    HttpRequest head;
    try {
      head =
          BackendHttpClient.request(
              HttpMethod.POST.name(), r.address(), "/v1/requests/" + r.requestId() + "/cancel");
    } catch (IllegalArgumentException e) {
      LOG.info("request {} has an identifier that cannot be cancelled", r.requestId(), e);
      return;
    }
    head.headers()
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .set(HttpHeaderNames.CONTENT_LENGTH, 0);
    client
        .call(r.address(), head, new byte[0], CANCEL_TIMEOUT_MILLIS, MAX_CANCEL_ANSWER_BYTES)
        .whenComplete(
            (a, failure) -> {
              // The engine generates the rest of the answer; closing the connection may stop it.
              if (failure != null) {
                LOG.info(
                    "request {} could not be cancelled at {}: {}",
                    r.requestId(),
                    r.address(),
                    failure.getMessage());
              } else if (a.status() >= CLIENT_ERROR) {
                LOG.info(
                    "request {} was not cancelled at {}: status {}",
                    r.requestId(),
                    r.address(),
                    a.status());
              }
            });
  }

  /** One attempt. Runs on the event loop; only {@link #stop} is called on other threads. */
  private final class RunningAttempt implements Attempt, BackendListener {
    private final EngineRequest request;
    private final EngineListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final SseParser parser = new SseParser(this::onEvent);
    private @Nullable BackendExchange exchange;
    private long bytesAfterEnd;

    RunningAttempt(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void run() {
      if (ended.get()) {
        return;
      }
      byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
      try {
        HttpRequest head = requestHead(request, body.length);
        exchange = client.send(request.address(), head, body, this);
      } catch (RuntimeException e) {
        fail(FailureKind.NOT_SENT, String.valueOf(e));
      }
    }

    @Override
    public boolean head(HttpResponse h) {
      int status = h.status().code();
      String boot = h.headers().get(BackendHeaders.BOOT);
      boolean otherBoot = boot != null && !boot.equals(request.boot());
      if (status >= CLIENT_ERROR) {
        onErrorStatus(h, otherBoot);
      } else if (otherBoot) {
        // The engine has restarted. It may have run the request nevertheless, if it ignores the
        // expected boot identity.
        fail(FailureKind.OTHER_BOOT, "boot identity " + boot);
      } else if (status != OK || !isEventStream(h.headers())) {
        fail(FailureKind.BROKEN, "no event stream, status " + status);
      }
      return true;
    }

    /** Other text may look like events; with an encoding it is not what the engine sent. */
    private static boolean isEventStream(HttpHeaders h) {
      String type = h.get(HttpHeaderNames.CONTENT_TYPE);
      CharSequence mimeType = type == null ? null : HttpUtil.getMimeType(type);
      return mimeType != null
          && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mimeType)
          && h.get(HttpHeaderNames.CONTENT_ENCODING) == null;
    }

    private void onErrorStatus(HttpResponse h, boolean otherBoot) {
      int status = h.status().code();
      boolean notRun = "true".equals(h.headers().get(BackendHeaders.NOT_RUN));
      if (status == CONFLICT && otherBoot) {
        fail(FailureKind.OTHER_BOOT, "boot identity " + h.headers().get(BackendHeaders.BOOT));
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
          client.after(CLOSE_MILLIS, this::close);
          listener.onDone();
        }
        return;
      }
      listener.onChunk(Long.parseLong(e.id()), e.data());
    }

    @Override
    public void content(ByteBuf buf) {
      if (ended.get()) {
        bytesAfterEnd += buf.readableBytes();
        if (bytesAfterEnd > MAX_BYTES_AFTER_END) {
          close();
        }
        return;
      }
      try {
        parser.feed(ByteBufUtil.getBytes(buf));
      } catch (EbonypondException | NumberFormatException e) {
        fail(FailureKind.BROKEN, String.valueOf(e.getMessage()));
      }
    }

    @Override
    public void end() {
      fail(FailureKind.BROKEN, "the answer ended before its end marker");
    }

    @Override
    public void failed(boolean sent, String reason) {
      fail(sent ? FailureKind.BROKEN : FailureKind.NOT_SENT, reason);
    }

    private void fail(FailureKind kind, String detail) {
      if (ended.compareAndSet(false, true)) {
        close();
        listener.onFailure(kind, detail);
      }
    }

    @Override
    public void stop() {
      if (ended.compareAndSet(false, true)) {
        client.execute(this::close);
        cancelOnEngine(request);
      }
    }

    private void close() {
      BackendExchange x = exchange;
      if (x != null) {
        x.cancel();
      }
    }
  }
}
