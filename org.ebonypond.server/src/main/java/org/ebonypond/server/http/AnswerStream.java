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
 * A publisher of text that is produced on other threads. Text waits until the subscriber asks for
 * it; the length of an answer bounds what waits. Thread-safe.
 */
final class AnswerStream implements Publisher<ByteBuf>, Subscription {
  private final Runnable onCancel;
  private final Deque<String> waiting = new ArrayDeque<>();
  private @Nullable Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private boolean ended;
  private boolean closed;
  private boolean draining;

  /**
   * Creates an empty stream.
   *
   * @param onCancel is called when the subscriber is gone before the end
   */
  AnswerStream(Runnable onCancel) {
    this.onCancel = onCancel;
  }

  /** Adds text. */
  void add(String text) {
    synchronized (this) {
      waiting.add(text);
    }
    drain();
  }

  /** Ends the stream after the text that waits. */
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
      waiting.clear();
    }
    onCancel.run();
  }

  /** Passes on what is wanted; one thread at a time, in order. */
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
        boolean mayEnd = ended && waiting.isEmpty();
        boolean idle = s == null || closed || (!mayEnd && (demand == 0 || waiting.isEmpty()));
        if (idle) {
          draining = false;
          return;
        }
        closed = mayEnd;
        next = mayEnd ? null : waiting.remove();
        demand -= mayEnd || demand == Long.MAX_VALUE ? 0 : 1;
      }
      if (next == null) {
        s.onComplete();
      } else {
        s.onNext(Unpooled.copiedBuffer(next, StandardCharsets.UTF_8));
      }
    }
  }
}
