package org.ebonypond.server.http1;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * The connections of all callers of a process, and the memory that they share. Without a limit over
 * all of them, requests that are each within the limits would exhaust the memory of the process.
 * Confined to one event loop.
 */
public final class CallerConnections {
  private final MemoryPool bodies;
  private final Set<HttpConnection> all = new LinkedHashSet<>();
  private long accepted;
  private long turnedAway;
  private long ended;

  /**
   * Creates the limits of a process without connections.
   *
   * @param bodyBytes the direct memory for requests that are being received, and for the bodies of
   *     those that are handled; the process must have room for answers and socket buffers besides
   */
  public CallerConnections(long bodyBytes) {
    bodies = new MemoryPool(bodyBytes);
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

  MemoryPool bodies() {
    return bodies;
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
   * Closes a connection in favour of a new one: one that ends already, the one that is idle for the
   * longest time, or an incomplete request. Callers who wait for an answer are kept.
   *
   * @return whether there was one
   */
  boolean makeRoom(Set<HttpConnection> among) {
    for (Predicate<HttpConnection> p :
        List.<Predicate<HttpConnection>>of(
            HttpConnection::isEnding, HttpConnection::isIdle, HttpConnection::isReceiving)) {
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
