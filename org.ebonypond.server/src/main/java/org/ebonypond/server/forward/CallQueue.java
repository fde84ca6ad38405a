package org.ebonypond.server.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.forward.WaitingOrder;

/**
 * Queue of calls that cannot be sent or refused yet. Some arrived before this process knew any
 * instance: after its start, a process receives the configuration and the instances within seconds.
 * Others have missed their latency target already and yield the free slots to calls that can still
 * meet it. Refusing them instead would use up the caller's only retry. The calls are dispatched
 * again, in the order of {@link WaitingOrder}, whenever the view of the fleet changes and a few
 * times a second. Confined to one event loop.
 */
final class CallQueue {
  /** Longest wait of a call, in milliseconds; if capacity is missing for longer, it is refused. */
  static final long MAX_WAIT_MILLIS = 2_000;

  /** At a few KB for each call, this is a few percent of the memory of a process. */
  private static final int MAX_CALLS = 1_000;

  /**
   * Limit for the bodies of all queued calls: a quarter of an entry's heap; one body may have 4 MB.
   */
  private static final long MAX_BODY_BYTES = 24 << 20;

  /** More than the requests of an entry in the time that such a call may wait. */
  private static final int MAX_UNCONFIRMED_CALLS = 200;

  /** The bodies of a few large requests; most requests have some KB. */
  private static final long MAX_UNCONFIRMED_BYTES = 8 << 20;

  /** Every live instance reports at least once within two heartbeat intervals. */
  private static final int DISCOVERY_HEARTBEATS = 2;

  private final long discoveryMillis;
  private final Set<ForwardCall> calls = new LinkedHashSet<>();
  private final Set<ForwardCall> unconfirmed = new LinkedHashSet<>();
  private long unconfirmedBytes;
  private long bodyBytes;
  private long configuredSince = Long.MAX_VALUE;

  /**
   * Creates an empty queue.
   *
   * @param heartbeatMillis the time between two heartbeats of an instance, in milliseconds
   */
  CallQueue(long heartbeatMillis) {
    this.discoveryMillis = DISCOVERY_HEARTBEATS * heartbeatMillis;
  }

  /**
   * Adds a call.
   *
   * @param capacity the number of calls that may wait if the view is complete; more could not be
   *     sent in time
   * @return whether it was added
   */
  boolean add(ForwardCall c, int capacity, long now) {
    int limit = isDiscovering(now) ? MAX_CALLS : Math.min(capacity, MAX_CALLS);
    if (calls.size() >= limit || bodyBytes + c.bodyBytes() > MAX_BODY_BYTES || !calls.add(c)) {
      return false;
    }
    bodyBytes += c.bodyBytes();
    return true;
  }

  /**
   * Adds a call that waits for the confirmation of the configuration. Such calls have room of their
   * own: callers without a route must not take the places of those that wait for instances.
   *
   * @return whether it was added
   */
  boolean addUnconfirmed(ForwardCall c) {
    if (unconfirmed.size() >= MAX_UNCONFIRMED_CALLS
        || unconfirmedBytes + c.bodyBytes() > MAX_UNCONFIRMED_BYTES
        || !unconfirmed.add(c)) {
      return false;
    }
    unconfirmedBytes += c.bodyBytes();
    return true;
  }

  boolean isUnconfirmed(ForwardCall c) {
    return unconfirmed.contains(c);
  }

  void remove(ForwardCall c) {
    if (unconfirmed.remove(c)) {
      unconfirmedBytes -= c.bodyBytes();
    }
    if (calls.remove(c)) {
      bodyBytes -= c.bodyBytes();
    }
  }

  /**
   * Returns whether this process started so recently that instances may be missing from its view.
   */
  boolean isDiscovering(long now) {
    return configuredSince == Long.MAX_VALUE || now - configuredSince < discoveryMillis;
  }

  /**
   * Returns the time at which a configuration became known, or {@link Long#MIN_VALUE} before that.
   */
  long configuredAt() {
    return configuredSince == Long.MAX_VALUE ? Long.MIN_VALUE : configuredSince;
  }

  /** Dispatches the calls again if a configuration is known, and records when it became known. */
  void viewChanged(boolean configured, long now) {
    if (configured) {
      configuredSince = Math.min(configuredSince, now);
      redispatch(now);
    }
  }

  /** Dispatches the queued calls again. */
  void redispatch(long now) {
    List.copyOf(unconfirmed).forEach(ForwardCall::redispatch);
    WaitingOrder.sorted(calls, now).forEach(ForwardCall::redispatch);
  }
}
