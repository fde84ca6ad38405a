package org.ebonypond.server.http1;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The connections of all callers of a process, and the memory that they share. Without a limit over
 * all of them, requests that are each within the limits would exhaust the memory of the process.
 * Confined to one event loop.
 */
public final class CallerConnections {
  /**
   * A large head is decoded only after a pause of this many times the decoding of the one before,
   * so that large heads take at most a fifth of the event loop.
   */
  private static final int LARGE_HEAD_PAUSES = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TimerService timers;
  private final Deque<RequestDecoder> largeHeads = new ArrayDeque<>();
  private long largeHeadsPauseUntil = System.nanoTime();
  private boolean largeHeadsResume;
  private final MemoryPool bodies;
  private final MemoryPool heads;
  private final MemoryPool answers;
  private final Set<HttpConnection> all = new LinkedHashSet<>();
  private long accepted;
  private long turnedAway;
  private long ended;

  /**
   * Creates the limits of a process without connections.
   *
   * @param timers the timers of the event loop
   * @param bodyBytes the direct memory for requests that are being received, and for the bodies of
   *     those that are handled; the process must have room for answers and socket buffers besides
   * @param headBytes the heap for the decoded heads of requests
   * @param answerBytes the memory for answers that callers have not read
   */
  public CallerConnections(TimerService timers, long bodyBytes, long headBytes, long answerBytes) {
    this.timers = timers;
    bodies = new MemoryPool(bodyBytes);
    heads = new MemoryPool(headBytes);
    answers = new MemoryPool(answerBytes);
  }

  /** Returns the number of open connections. */
  public int open() {
    return all.size();
  }

  /** Returns the number of connections that were accepted so far. */
  public long accepted() {
    return accepted;
  }

  /** Returns the number of connections that were closed at once for lack of room so far. */
  public long turnedAway() {
    return turnedAway;
  }

  /** Returns the number of connections that were ended to make room for others so far. */
  public long ended() {
    return ended;
  }

  MemoryPool heads() {
    return heads;
  }

  MemoryPool bodies() {
    return bodies;
  }

  MemoryPool answers() {
    return answers;
  }

  void add(HttpConnection c) {
    accepted++;
    all.add(c);
  }

  void remove(HttpConnection c) {
    all.remove(c);
  }

  void turnAway() {
    turnedAway++;
  }

  /**
   * Returns whether a large head may be decoded now. Otherwise its decoder is resumed later, in
   * turn with those of other large heads.
   */
  boolean mayDecodeLargeHead(RequestDecoder d) {
    if (System.nanoTime() - largeHeadsPauseUntil >= 0) {
      return true;
    }
    largeHeads.addLast(d);
    resumeLargeHeads();
    return false;
  }

  /** Records how long the decoding of a large head took. */
  void largeHeadDecoded(long nanos) {
    largeHeadsPauseUntil = System.nanoTime() + LARGE_HEAD_PAUSES * nanos;
  }

  private void resumeLargeHeads() {
    if (largeHeadsResume || largeHeads.isEmpty()) {
      return;
    }
    largeHeadsResume = true;
    long pause = Math.max(0, largeHeadsPauseUntil - System.nanoTime());
    timers.after(
        pause / NANOS_PER_MILLI + 1,
        () -> {
          largeHeadsResume = false;
          RequestDecoder next = largeHeads.pollFirst();
          if (next != null) {
            next.resume();
          }
          resumeLargeHeads();
        });
  }

  /**
   * Reserves memory for a request that is being received. If there is not enough, requests that
   * arrive too slowly are ended.
   */
  boolean reserveBody(long bytes, long now) {
    while (!bodies.reserve(bytes)) {
      HttpConnection slowest = first(all, c -> c.isSlow(now), HttpConnection::lastActive);
      if (slowest == null) {
        return false;
      }
      ended++;
      slowest.endForOthers("memory");
    }
    return true;
  }

  /**
   * Resets connections whose callers do not read their answers, those that have not read for the
   * longest time first, until the answers fit into their memory.
   */
  void limitAnswers(HttpConnection last) {
    while (answers.isExceeded()) {
      HttpConnection c = first(all, HttpConnection::isUnread, HttpConnection::lastRead);
      if (c == null) {
        return;
      }
      ended++;
      c.resetUnread();
      if (c == last) {
        return;
      }
    }
  }

  /**
   * Closes a connection in favour of a new one: one that ends already, the one that is idle for the
   * longest time, a request that arrives too slowly, or one that was not read yet. Callers who wait
   * for an answer are kept.
   *
   * @return whether there was one
   */
  boolean makeRoom(Set<HttpConnection> among, long now) {
    for (Predicate<HttpConnection> p :
        List.<Predicate<HttpConnection>>of(
            HttpConnection::isEnding,
            HttpConnection::isIdle,
            c -> c.isSlow(now),
            HttpConnection::isUnhandled)) {
      HttpConnection c = first(among, p, HttpConnection::lastActive);
      if (c != null) {
        ended++;
        c.closeForOthers();
        return true;
      }
    }
    return false;
  }

  private static @Nullable HttpConnection first(
      Set<HttpConnection> among,
      Predicate<HttpConnection> p,
      ToLongFunction<HttpConnection> order) {
    return among.stream().filter(p).min(Comparator.comparingLong(order)).orElse(null);
  }
}
