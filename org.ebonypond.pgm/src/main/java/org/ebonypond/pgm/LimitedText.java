package org.ebonypond.pgm;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Collects the body of an answer as text and fails if it is too large. */
final class LimitedText implements BodySubscriber<String> {
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final CompletableFuture<String> text = new CompletableFuture<>();
  private Flow.@Nullable Subscription subscription;

  /**
   * Creates a subscriber.
   *
   * @param maxBytes the size above which a body is not read further, in bytes
   */
  LimitedText(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public CompletionStage<String> getBody() {
    return text;
  }

  @Override
  public void onSubscribe(Flow.Subscription s) {
    subscription = s;
    s.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(List<ByteBuffer> parts) {
    for (ByteBuffer b : parts) {
      if (text.isDone()) {
        return;
      }
      if (bytes.size() + b.remaining() > maxBytes) {
        tooLarge();
        return;
      }
      byte[] part = new byte[b.remaining()];
      b.get(part);
      bytes.writeBytes(part);
    }
  }

  private void tooLarge() {
    Flow.Subscription s = subscription;
    if (s != null) {
      s.cancel();
    }
    bytes.reset();
    text.completeExceptionally(new IOException("the answer is larger than " + maxBytes + " bytes"));
  }

  @Override
  public void onError(Throwable t) {
    text.completeExceptionally(t);
  }

  @Override
  public void onComplete() {
    text.complete(bytes.toString(StandardCharsets.UTF_8));
  }
}
