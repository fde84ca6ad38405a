package org.ebonypond.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This entry's part of the budget for sending requests a second time. The budget of a service over
 * all entries is a part of its requests plus a fixed number in each window. An entry spends the
 * part of its own requests and an equal share of the fixed number, so that the sum stays within the
 * budget while entries cannot reach each other.
 */
public final class RetryAllowance {
  private final double ratio;
  private final int slack;
  private final long windowMillis;
  private final Map<String, Counts> services = new HashMap<>();

  /**
   * Creates an allowance.
   *
   * @param ratio the sends beyond the first for each request
   * @param slack the further sends of all entries in one window
   * @param windowMillis the length of the window in milliseconds
   */
  public RetryAllowance(double ratio, int slack, long windowMillis) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMillis = windowMillis;
  }

  /** Counts a request for a service. */
  public void request(String service, long now) {
    counts(service).requests.addLast(now);
  }

  /**
   * Takes one send beyond the first, if there is one left.
   *
   * @param entries the number of entries that share the budget
   */
  public boolean take(String service, int entries, long now) {
    Counts c = counts(service);
    expire(c.requests, now);
    expire(c.repeats, now);
    double allowed = ratio * c.requests.size() + (double) slack / (2 * Math.max(1, entries));
    if (c.repeats.size() + 1 > allowed) {
      return false;
    }
    c.repeats.addLast(now);
    return true;
  }

  private Counts counts(String service) {
    return services.computeIfAbsent(service, s -> new Counts());
  }

  private void expire(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() >= windowMillis) {
      times.removeFirst();
    }
  }

  private static final class Counts {
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> repeats = new ArrayDeque<>();
  }
}
