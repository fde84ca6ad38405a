package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Sends an answer as a stream of server-sent events. Runs on the event loop. */
final class SseAnswer implements TokenSink, Publisher<ByteBuf>, Subscription {
  private static final ObjectMapper JSON = new ObjectMapper();
  private final String id;
  private final Runnable onDrop;
  private final Runnable onCancel;
  private final Queue<String> queue = new ArrayDeque<>();
  private @Nullable Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private boolean ended;
  private boolean closed;
  private boolean draining;

  SseAnswer(String id, Runnable onDrop, Runnable onCancel) {
    this.id = id;
    this.onDrop = onDrop;
    this.onCancel = onCancel;
  }

  @Override
  public void token(int index, String text, boolean last) {
    ObjectNode n = JSON.createObjectNode().put("id", id).put("object", "chat.completion.chunk");
    ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta").put("content", text);
    choice.put("finish_reason", last ? "stop" : null);
    queue.add("id: " + index + "\ndata: " + n + "\n\n");
    drain();
  }

  @Override
  public void end() {
    queue.add("data: [DONE]\n\n");
    ended = true;
    drain();
  }

  @Override
  public void drop() {
    closed = true;
    onDrop.run();
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> s) {
    subscriber = s;
    s.onSubscribe(this);
  }

  @Override
  public void request(long n) {
    demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
    drain();
  }

  @Override
  public void cancel() {
    if (!closed) {
      closed = true;
      onCancel.run();
    }
  }

  private void drain() {
    if (draining || subscriber == null) {
      return;
    }
    // onNext may call request, which must not start a second loop.
    draining = true;
    while (!closed && demand > 0 && !queue.isEmpty()) {
      demand--;
      subscriber.onNext(Unpooled.copiedBuffer(queue.remove(), StandardCharsets.UTF_8));
    }
    if (!closed && ended && queue.isEmpty()) {
      closed = true;
      subscriber.onComplete();
    }
    draining = false;
  }
}
