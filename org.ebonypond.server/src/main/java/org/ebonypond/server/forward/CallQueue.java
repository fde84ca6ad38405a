package org.ebonypond.server.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Calls that cannot be sent yet. Some arrived before this process knew where to send them: a
 * process that has just started learns the configuration and the instances within seconds. Others
 * are late already and leave the free places to those that can be on time. A caller that is refused
 * instead spends its only retry on that. The calls are tried again, oldest first, whenever the view
 * of the fleet has changed and a few times a second. Used on one event loop only.
 */
final class CallQueue {
  /** No call waits for longer than this, in milliseconds; longer losses need a refusal. */
  static final long MAX_WAIT_MILLIS = 2_000;

  /** At a few KB for each call, a few percent of the memory of a process. */
  private static final int MAX_CALLS = 1_000;

  /** The bytes of all bodies that wait, a quarter of the heap of an entry; bodies may have 4 MB. */
  private static final long MAX_BODY_BYTES = 24 << 20;

  /** Instances report at least once in two heartbeats, unless they are lost. */
  private static final int HEARTBEATS = 2;

  private final long learningMillis;
  private final Set<ForwardCall> calls = new LinkedHashSet<>();
  private long bodyBytes;
  private long knownSince = Long.MAX_VALUE;

  /**
   * Creates a queue.
   *
   * @param heartbeatMillis the time between two heartbeats of an instance, in milliseconds
   */
  CallQueue(long heartbeatMillis) {
    this.learningMillis = HEARTBEATS * heartbeatMillis;
  }

  /**
   * Adds a call.
   *
   * @param room the calls that may wait if the view is complete; more could not be sent in time
   * @return whether there was room for it
   */
  boolean add(ForwardCall c, int room, long now) {
    int most = isLearning(now) ? MAX_CALLS : Math.min(room, MAX_CALLS);
    if (calls.size() >= most || bodyBytes + c.bodyBytes() > MAX_BODY_BYTES || !calls.add(c)) {
      return false;
    }
    bodyBytes += c.bodyBytes();
    return true;
  }

  void remove(ForwardCall c) {
    if (calls.remove(c)) {
      bodyBytes -= c.bodyBytes();
    }
  }

  /** Returns whether instances may be missing from the view because this process is new. */
  boolean isLearning(long now) {
    return knownSince == Long.MAX_VALUE || now - knownSince < learningMillis;
  }

  /** Notes that a control replica has answered, and tries the calls again. */
  void viewChanged(boolean configured, long now) {
    if (configured) {
      knownSince = Math.min(knownSince, now);
      tryAgain();
    }
  }

  /** Tries the calls again. */
  void tryAgain() {
    List.copyOf(calls).forEach(ForwardCall::tryAgain);
  }
}
