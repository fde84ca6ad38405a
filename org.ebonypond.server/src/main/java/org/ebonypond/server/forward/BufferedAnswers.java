package org.ebonypond.server.forward;

import java.util.IdentityHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Accounts for the bytes of incomplete answers that an entry buffers, over all calls. Confined to
 * one event loop; only the total may be read on any thread.
 *
 * @param <T> the owner of a buffer
 */
final class BufferedAnswers<T> {
  /** The largest known answers have some kilobytes; this leaves room for documents of a few MB. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  /** With the spare capacity of growing buffers, this is half of an entry's heap of 96 MB. */
  private static final int MAX_TOTAL_BYTES = 20 << 20;

  private final Map<T, Integer> bytesByOwner = new IdentityHashMap<>();
  private volatile long total;

  /**
   * Adds bytes to the buffer of an owner.
   *
   * @return the owner whose buffer must be discarded, or null if both limits are kept: the given
   *     one if its answer is too large, or that of the largest answer if the total is too large
   */
  @Nullable T add(T owner, int bytes) {
    int own = bytesByOwner.merge(owner, bytes, Integer::sum);
    total += bytes;
    if (own > MAX_ANSWER_BYTES) {
      return owner;
    }
    if (total <= MAX_TOTAL_BYTES) {
      return null;
    }
    T largest = owner;
    for (Map.Entry<T, Integer> e : bytesByOwner.entrySet()) {
      if (e.getValue() > bytesByOwner.getOrDefault(largest, 0)) {
        largest = e.getKey();
      }
    }
    return largest;
  }

  /** Removes an owner whose answer was forwarded or discarded. */
  void remove(T owner) {
    Integer bytes = bytesByOwner.remove(owner);
    if (bytes != null) {
      total -= bytes;
    }
  }

  long total() {
    return total;
  }
}
