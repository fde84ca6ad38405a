package org.ebonypond.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The leader's record of one holder at one target. */
final class Holding {
  /** The maximum number of unacknowledged grants; the oldest two are merged beyond it. */
  private static final int MAX_GRANTS = 16;

  /** The number of requests kept for {@link #minActive}; they arrive about every 500 ms. */
  private static final int MAX_SAMPLES = 16;

  private final List<Grant> grants = new ArrayList<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private int wanted;
  private int inUse;

  private record Grant(long sequence, int slots, long expiresMillis) {}

  private record Sample(long handledMillis, int inFlight, long ended) {}

  /**
   * Processes one request of the holder.
   *
   * @param item the request's item for the target, or null if the request does not list it
   * @param ack the sequence of the grant in force at the holder
   * @param ackHandledMillis when the leader made that grant; this request was sent later
   * @param nowMillis the time
   */
  void onRequest(
      ShareRequest.@Nullable Item item, long ack, long ackHandledMillis, long nowMillis) {
    // The in-flight count includes requests started under grants that were replaced or had expired
    // before this request was sent. Other grants may have been used since, so they stay.
    grants.removeIf(g -> g.sequence < ack || g.expiresMillis <= ackHandledMillis);
    wanted = item == null ? 0 : item.wanted();
    inUse = item == null ? 0 : item.inFlight() + item.lost();
    if (item == null) {
      samples.clear();
      return;
    }
    if (samples.size() == MAX_SAMPLES) {
      samples.removeFirst();
    }
    samples.addLast(new Sample(nowMillis, item.inFlight(), item.ended()));
  }

  /** Assumes a number of unreported requests in flight. */
  void assume(int requests) {
    inUse = requests;
  }

  void addGrant(long sequence, int slots, long expiresMillis) {
    if (slots == 0) {
      return;
    }
    grants.add(new Grant(sequence, slots, expiresMillis));
    if (grants.size() > MAX_GRANTS) {
      Grant oldest = grants.remove(0);
      Grant second = grants.remove(0);
      grants.add(
          0,
          new Grant(second.sequence, Math.max(oldest.slots, second.slots), second.expiresMillis));
    }
  }

  /** Returns the maximum number of requests that the holder may have in flight. */
  int charge() {
    int n = inUse;
    for (Grant g : grants) {
      n = Math.max(n, g.slots);
    }
    return n;
  }

  int wanted() {
    return wanted;
  }

  boolean isEmpty() {
    return wanted == 0 && charge() == 0;
  }

  /**
   * Returns a lower bound on the requests that were continuously in flight, from the last holder
   * request handled by the given time until the latest one. Lost requests do not count, because the
   * holder does not learn when they end.
   */
  int minActive(long sinceMillis) {
    Sample base = null;
    for (Sample s : samples) {
      if (s.handledMillis <= sinceMillis) {
        base = s;
      }
    }
    if (base == null) {
      return 0;
    }
    return (int) Math.max(0, base.inFlight - (samples.getLast().ended - base.ended));
  }
}
