package org.ebonypond.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.ebonypond.server.http1.CallerBacklog;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A publisher of text that is produced on other threads. Text is buffered until the subscriber
 * requests it. If more than {@link CallerBacklog#MAX_BYTES} are buffered, the connection is closed.
 * Thread-safe.
 */
final class AnswerStream implements Publisher<ByteBuf>, Subscription {
  private static final Logger LOG = LoggerFactory.getLogger(AnswerStream.class);

  private final Channel connection;
  private final Runnable onCancel;
  private final Deque<byte[]> buffer = new ArrayDeque<>();
  private @Nullable Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private int bufferedBytes;
  private boolean ended;
  private boolean overflowed;
  private boolean closed;
  private boolean draining;

  /**
   * Creates an empty stream.
   *
   * @param connection the connection of the caller
   * @param onCancel runs if the subscriber cancels before the end, or reads too slowly
   */
  AnswerStream(Channel connection, Runnable onCancel) {
    this.connection = connection;
    this.onCancel = onCancel;
  }

  /** Appends text to the stream. */
  void add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    boolean overflow;
    synchronized (this) {
      if (closed || overflowed) {
        return;
      }
      buffer.add(bytes);
      bufferedBytes += bytes.length;
      overflow = bufferedBytes > CallerBacklog.MAX_BYTES;
      if (overflow) {
        overflowed = true;
        buffer.clear();
      }
    }
    if (overflow) {
      // After an error of the stream the HTTP server would end the answer like a complete one.
      connection.close();
      LOG.info(
          "caller {} reads its answer too slowly; closing the connection",
          connection.remoteAddress());
      onCancel.run();
      return;
    }
    drain();
  }

  /** Completes the stream after the buffered text. */
  void end() {
    synchronized (this) {
      ended = true;
    }
    drain();
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> s) {
    synchronized (this) {
      subscriber = s;
    }
    s.onSubscribe(this);
  }

  @Override
  public void request(long n) {
    synchronized (this) {
      demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
    }
    drain();
  }

  @Override
  public void cancel() {
    synchronized (this) {
      boolean ignored = closed || overflowed;
      closed = true;
      buffer.clear();
      if (ignored) {
        return;
      }
    }
    onCancel.run();
  }

  /** Emits buffered text up to the demand, in order and on one thread at a time. */
  private void drain() {
    synchronized (this) {
      if (draining) {
        return;
      }
      draining = true;
    }
    while (true) {
      byte[] next;
      Subscriber<? super ByteBuf> s;
      synchronized (this) {
        s = subscriber;
        boolean complete = ended && buffer.isEmpty();
        boolean idle =
            s == null || closed || overflowed || (!complete && (demand == 0 || buffer.isEmpty()));
        if (idle) {
          draining = false;
          return;
        }
        closed = complete;
        next = complete ? null : buffer.remove();
        bufferedBytes -= next == null ? 0 : next.length;
        demand -= complete || demand == Long.MAX_VALUE ? 0 : 1;
      }
      if (next != null) {
        s.onNext(Unpooled.wrappedBuffer(next));
      } else {
        s.onComplete();
      }
    }
  }
}
