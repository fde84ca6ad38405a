package org.ebonypond.server.transport;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * The connections that others have opened to this process, with a limit on their number and on the
 * memory of their unfinished frames. Anybody can connect; processes of the system send a frame at
 * once, and finish each within seconds. Thread-safe.
 */
final class IncomingConnections {
  /**
   * The age at which a frame is given up, in milliseconds: its sender waits for an answer for 9 s
   * at most.
   */
  private static final long MAX_FRAME_MILLIS = 10_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final int maxConnections;
  private final long maxUnfinishedBytes;
  private final Map<Channel, State> states = new LinkedHashMap<>();
  private long unfinishedBytes;
  private long closed;

  IncomingConnections(int maxConnections, long maxUnfinishedBytes) {
    this.maxConnections = maxConnections;
    this.maxUnfinishedBytes = maxUnfinishedBytes;
  }

  /**
   * Adds a connection.
   *
   * @return the connection that must be closed for it, which may be itself, or null
   */
  synchronized @Nullable Channel add(Channel c, long now) {
    Channel victim = null;
    if (states.size() >= maxConnections) {
      victim = first(s -> s.lastFrameAt == NEVER, s -> s.openedAt);
      if (victim == null) {
        victim = first(s -> now - s.lastFrameAt > MAX_FRAME_MILLIS, s -> s.lastFrameAt);
      }
      closed++;
      if (victim == null) {
        return c;
      }
      remove(victim);
    }
    states.put(c, new State(now));
    return victim;
  }

  /** Returns the number of connections that were to be closed since the last call. */
  synchronized long takeClosed() {
    long n = closed;
    closed = 0;
    return n;
  }

  synchronized int size() {
    return states.size();
  }

  synchronized void remove(Channel c) {
    State s = states.remove(c);
    unfinishedBytes -= s == null ? 0 : s.unfinishedBytes;
  }

  synchronized void frameArrived(Channel c, long now) {
    State s = states.get(c);
    if (s != null) {
      s.lastFrameAt = now;
    }
  }

  /**
   * Records the bytes of an unfinished frame.
   *
   * @return the connections that must be closed, since the frames take too much memory
   */
  synchronized List<Channel> unfinished(Channel c, int bytes, long now) {
    State s = states.get(c);
    if (s == null) {
      return List.of();
    }
    if (s.unfinishedBytes == 0 || bytes < s.unfinishedBytes) {
      s.unfinishedSince = now;
    }
    unfinishedBytes += bytes - s.unfinishedBytes;
    s.unfinishedBytes = bytes;
    List<Channel> out = new ArrayList<>();
    while (unfinishedBytes > maxUnfinishedBytes) {
      Channel oldest =
          first(x -> x.unfinishedBytes > 0 && x.lastFrameAt == NEVER, x -> x.unfinishedSince);
      if (oldest == null) {
        oldest = first(x -> x.unfinishedBytes > 0, x -> x.unfinishedSince);
      }
      if (oldest == null) {
        break;
      }
      remove(oldest);
      closed++;
      out.add(oldest);
    }
    return out;
  }

  /** Removes the connections with a frame that is not finished in time, which must be closed. */
  synchronized List<Channel> expire(long now) {
    List<Channel> out = new ArrayList<>();
    states.forEach(
        (c, s) -> {
          if (s.unfinishedBytes > 0 && now - s.unfinishedSince > MAX_FRAME_MILLIS) {
            out.add(c);
          }
        });
    out.forEach(this::remove);
    closed += out.size();
    return out;
  }

  private @Nullable Channel first(Predicate<State> p, ToLongFunction<State> order) {
    return states.entrySet().stream()
        .filter(e -> p.test(e.getValue()))
        .min(Comparator.comparingLong(e -> order.applyAsLong(e.getValue())))
        .map(Map.Entry::getKey)
        .orElse(null);
  }

  private static final class State {
    private final long openedAt;
    private long lastFrameAt = NEVER;
    private long unfinishedSince;
    private int unfinishedBytes;

    State(long openedAt) {
      this.openedAt = openedAt;
    }
  }
}
