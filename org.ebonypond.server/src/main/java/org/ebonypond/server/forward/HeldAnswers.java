package org.ebonypond.server.forward;

import java.util.IdentityHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The bytes of answers that an entry holds until they are whole, over all calls. Used on one event
 * loop; the sum may be read on any thread.
 *
 * @param <T> who holds a part
 */
final class HeldAnswers<T> {
  /** Callers' largest known answers have some kilobytes; documents of a few megabytes pass, too. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  /** With the room that a growing buffer takes in addition, half of an entry's heap of 96 MB. */
  private static final int MAX_TOTAL_BYTES = 20 << 20;

  private final Map<T, Integer> held = new IdentityHashMap<>();
  private volatile long total;

  /**
   * Adds bytes.
   *
   * @return whose answer must be given up, or null if there is room: an answer that is too large by
   *     itself, or the largest one if all together are
   */
  @Nullable T add(T holder, int bytes) {
    int own = held.merge(holder, bytes, Integer::sum);
    total += bytes;
    if (own > MAX_ANSWER_BYTES) {
      return holder;
    }
    if (total <= MAX_TOTAL_BYTES) {
      return null;
    }
    T largest = holder;
    for (Map.Entry<T, Integer> e : held.entrySet()) {
      if (e.getValue() > held.getOrDefault(largest, 0)) {
        largest = e.getKey();
      }
    }
    return largest;
  }

  /** Forgets a holder, whose answer was passed on or given up. */
  void remove(T holder) {
    Integer bytes = held.remove(holder);
    if (bytes != null) {
      total -= bytes;
    }
  }

  long total() {
    return total;
  }
}
