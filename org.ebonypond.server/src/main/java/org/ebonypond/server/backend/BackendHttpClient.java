package org.ebonypond.server.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.server.http1.BackendExchange;
import org.ebonypond.server.http1.BackendListener;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Client of backend servers on one event loop. Each call has a timeout, and no part of an answer is
 * read without a limit.
 */
public final class BackendHttpClient {
  private final EventLoop loop;
  private final BackendPool pool;
  private final TimerService timers;

  /**
   * Creates a client.
   *
   * @param loop the event loop of the pool
   * @param pool opens the connections
   * @param timers schedules the timeouts of calls
   */
  public BackendHttpClient(EventLoop loop, BackendPool pool, TimerService timers) {
    this.loop = loop;
    this.pool = pool;
    this.timers = timers;
  }

  /** Returns a request without a body, to which headers may be added. */
  static HttpRequest request(String method, String address, String path) {
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path);
    head.headers().set(HttpHeaderNames.HOST, address);
    return head;
  }

  /**
   * Sends a request and collects its answer.
   *
   * @param address host and port of the backend server
   * @param head the request line and headers
   * @param body the body
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @param maxBodyBytes the size above which the body of the answer makes the call fail, in bytes
   * @return the answer; fails with a {@link BackendFailure} if there is none
   */
  CompletableFuture<BackendAnswer> call(
      String address, HttpRequest head, byte[] body, long timeoutMillis, int maxBodyBytes) {
    Call c = new Call(maxBodyBytes);
    loop.execute(() -> c.start(address, head, body, timeoutMillis));
    return c.out;
  }

  /**
   * Sends a request whose answer is read as it arrives. Must be called on the event loop.
   *
   * @throws RuntimeException if the address is malformed; nothing was sent then
   */
  BackendExchange send(String address, HttpRequest head, byte[] body, BackendListener listener) {
    // A request that must not follow others on its connection opens one.
    long maxIdleMillis = HttpUtil.isKeepAlive(head) ? Long.MAX_VALUE : 0;
    return pool.send(
        address, parse(address), head, Unpooled.wrappedBuffer(body), maxIdleMillis, listener);
  }

  /** Runs a task on the event loop. */
  void execute(Runnable task) {
    loop.execute(task);
  }

  /** Runs a task on the event loop after a delay, unless its subscription is cancelled before. */
  TimerService.Subscription after(long delayMillis, Runnable task) {
    return timers.after(delayMillis, () -> loop.execute(task));
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** One call, on the event loop. */
  private final class Call implements BackendListener {
    final CompletableFuture<BackendAnswer> out = new CompletableFuture<>();
    private final int maxBodyBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable HttpResponse answer;
    private @Nullable BackendExchange exchange;

    Call(int maxBodyBytes) {
      this.maxBodyBytes = maxBodyBytes;
    }

    void start(String address, HttpRequest head, byte[] bytes, long timeoutMillis) {
      TimerService.Subscription timeout =
          after(Math.max(1, timeoutMillis), () -> stop("no answer in time"));
      out.whenComplete((a, failure) -> timeout.cancel());
      try {
        exchange = send(address, head, bytes, this);
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
      out.complete(new BackendAnswer(a.status().code(), h, body.toByteArray()));
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
