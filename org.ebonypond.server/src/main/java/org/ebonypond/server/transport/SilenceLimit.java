package org.ebonypond.server.transport;

/**
 * How long a peer may send nothing on a connection on which it owes an answer, until the connection
 * is taken for dead. A connection can stop delivering without a reset, while a new one works; so if
 * a new one is silent as well, the peer is slow, and replacing its connections only loses messages.
 * The limit follows the delays that were observed, and doubles with each connection that was
 * closed. Thread-safe.
 */
final class SilenceLimit {
  /**
   * The longest limit as a multiple of the timeout of requests: with 900 ms a dead connection is
   * replaced within 3.6 s, before the platform counts the processes as in touch again (4 s).
   */
  private static final int MAX_TIMEOUTS = 4;

  private static final long NOBODY_WAITS = Long.MAX_VALUE;

  private long waitingSince = NOBODY_WAITS;
  private long observedMillis;

  /** Records that a request was sent. */
  synchronized void requestSent(long now) {
    waitingSince = Math.min(waitingSince, now);
  }

  /** Records that a connection was opened, on which the peer could not answer before. */
  synchronized void opened(long now) {
    waitingSince = waitingSince == NOBODY_WAITS ? NOBODY_WAITS : now;
  }

  /** Records that a frame of the peer has arrived. */
  synchronized void frameArrived(long now) {
    if (waitingSince != NOBODY_WAITS) {
      // Slowly forgets a delay, since a busy process answers some requests at once.
      observedMillis = Math.max(now - waitingSince, observedMillis * 3 / 4);
      waitingSince = NOBODY_WAITS;
    }
  }

  /** Returns whether the connection is to be replaced; if so, the next one gets more time. */
  synchronized boolean expire(long now, long timeoutMillis) {
    long limit =
        Math.min(MAX_TIMEOUTS * timeoutMillis, Math.max(timeoutMillis, 2 * observedMillis));
    if (waitingSince == NOBODY_WAITS || now - waitingSince < limit) {
      return false;
    }
    waitingSince = NOBODY_WAITS;
    observedMillis = limit;
    return true;
  }
}
