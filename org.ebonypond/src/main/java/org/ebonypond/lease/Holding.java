package org.ebonypond.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** What the leader knows of one holder at one target. */
final class Holding {
  /** Grants without acknowledgement beyond this number are merged into one. */
  private static final int MAX_GRANTS = 16;

  /** Requests that are kept for {@link #surelyActive}; they arrive about every 500 ms. */
  private static final int MAX_SAMPLES = 16;

  private final List<Grant> grants = new ArrayList<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private int wanted;
  private int busy;

  private record Grant(long sequence, int slots, long expiresMillis) {}

  private record Sample(long handledMillis, int inFlight, long ended) {}

  /**
   * Takes one request of the holder.
   *
   * @param item the target's part of the request, or null if the request does not list the target
   * @param ack the sequence of the grant in force at the holder
   * @param ackHandledMillis when that grant was made; the request was sent later
   * @param nowMillis the time
   */
  void onRequest(
      ShareRequest.@Nullable Item item, long ack, long ackHandledMillis, long nowMillis) {
    // The in-flight count covers what was started under a grant that was replaced, or that had
    // expired, before the request was sent. Other grants may have been used since.
    grants.removeIf(g -> g.sequence < ack || g.expiresMillis <= ackHandledMillis);
    wanted = item == null ? 0 : item.wanted();
    busy = item == null ? 0 : item.inFlight() + item.lost();
    if (item == null) {
      samples.clear();
      return;
    }
    if (samples.size() == MAX_SAMPLES) {
      samples.removeFirst();
    }
    samples.addLast(new Sample(nowMillis, item.inFlight(), item.ended()));
  }

  /** Assumes requests that nobody reported. */
  void assume(int requests) {
    busy = requests;
  }

  void addGrant(long sequence, int slots, long expiresMillis) {
    if (slots == 0) {
      return;
    }
    grants.add(new Grant(sequence, slots, expiresMillis));
    if (grants.size() > MAX_GRANTS) {
      Grant a = grants.remove(0);
      Grant b = grants.remove(0);
      grants.add(0, new Grant(b.sequence, Math.max(a.slots, b.slots), b.expiresMillis));
    }
  }

  /** Returns the most requests that the holder may have in flight. */
  int charge() {
    int n = busy;
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
   * Returns how many requests were in flight during the whole time up to the last request, since
   * the last request that was handled by the given time. Lost requests do not count, because the
   * holder does not learn of their end.
   */
  int surelyActive(long sinceMillis) {
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
