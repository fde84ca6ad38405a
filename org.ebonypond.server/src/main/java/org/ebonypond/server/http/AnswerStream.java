package org.ebonypond.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * A publisher of text that is produced on other threads. Text is buffered until the subscriber
 * requests it; only the length of the answer bounds the buffer. Thread-safe.
 */
final class AnswerStream implements Publisher<ByteBuf>, Subscription {
  private final Runnable onCancel;
  private final Deque<String> buffer = new ArrayDeque<>();
  private @Nullable Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private boolean ended;
  private boolean closed;
  private boolean draining;

  /**
   * Creates an empty stream.
   *
   * @param onCancel runs if the subscriber cancels before the end
   */
  AnswerStream(Runnable onCancel) {
    this.onCancel = onCancel;
  }

  /** Appends text to the stream. */
  void add(String text) {
    synchronized (this) {
      buffer.add(text);
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
      if (closed) {
        return;
      }
      closed = true;
      buffer.clear();
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
      String next;
      Subscriber<? super ByteBuf> s;
      synchronized (this) {
        s = subscriber;
        boolean complete = ended && buffer.isEmpty();
        boolean idle = s == null || closed || (!complete && (demand == 0 || buffer.isEmpty()));
        if (idle) {
          draining = false;
          return;
        }
        closed = complete;
        next = complete ? null : buffer.remove();
        demand -= complete || demand == Long.MAX_VALUE ? 0 : 1;
      }
      if (next == null) {
        s.onComplete();
      } else {
        s.onNext(Unpooled.copiedBuffer(next, StandardCharsets.UTF_8));
      }
    }
  }
}
