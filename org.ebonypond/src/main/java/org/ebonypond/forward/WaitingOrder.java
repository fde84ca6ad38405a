package org.ebonypond.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which waiting requests are dispatched. A request that has missed its latency target
 * earns the same at any time before its deadline, so it yields to those that can still meet theirs;
 * otherwise a backlog would make new requests late as well.
 */
public final class WaitingOrder {
  private WaitingOrder() {}

  /** A request that waits to be dispatched. */
  public interface Waiting {
    /** Returns the time after which the first event is late, in milliseconds. */
    long targetAt();

    /** Returns the time of the deadline, in milliseconds. */
    long deadlineAt();
  }

  /** Returns the requests in the order in which they are dispatched at a time. */
  public static <T extends Waiting> List<T> sorted(Collection<T> requests, long now) {
    Comparator<T> onTimeFirst = Comparator.comparing(r -> r.targetAt() <= now);
    return requests.stream()
        .sorted(
            onTimeFirst.thenComparingLong(r -> r.targetAt() > now ? r.targetAt() : r.deadlineAt()))
        .toList();
  }
}
