package org.ebonypond.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This entry's share of the retry budget. The budget of a service over all entries is a fraction of
 * its requests plus a fixed number in each window. An entry may use the fraction of its own
 * requests and half of an equal share of the fixed number, so that the sum stays within the budget
 * even if entries cannot communicate.
 */
public final class RetryAllowance {
  private final double ratio;
  private final int slack;
  private final long windowMillis;
  private final Map<String, Counts> services = new HashMap<>();

  /**
   * Creates an allowance without recorded requests.
   *
   * @param ratio the number of retries per request
   * @param slack the additional retries of all entries in one window
   * @param windowMillis the length of the window in milliseconds
   */
  public RetryAllowance(double ratio, int slack, long windowMillis) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMillis = windowMillis;
  }

  /** Records a request for a service. */
  public void recordRequest(String service, long now) {
    counts(service).requests.addLast(now);
  }

  /**
   * Takes one retry from the allowance; returns false if none is left.
   *
   * @param entries the number of entries that share the budget
   */
  public boolean tryRetry(String service, int entries, long now) {
    Counts c = counts(service);
    expire(c.requests, now);
    expire(c.retries, now);
    double allowed = ratio * c.requests.size() + (double) slack / (2 * Math.max(1, entries));
    if (c.retries.size() + 1 > allowed) {
      return false;
    }
    c.retries.addLast(now);
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
    final Deque<Long> retries = new ArrayDeque<>();
  }
}
