package org.ebonypond.server.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SilenceLimitTest {
  private static final long TIMEOUT_MILLIS = 900;

  /** The time after which the platform counts processes as in touch again, in milliseconds. */
  private static final long CONTACT_MILLIS = 4_000;

  private final SilenceLimit limit = new SilenceLimit();

  /** Returns how long a request that is sent now waits until the connection is replaced. */
  private long replacedAfter(long sentAt) {
    limit.requestSent(sentAt);
    for (long t = sentAt; t < sentAt + 20_000; t += 100) {
      if (limit.expire(t, TIMEOUT_MILLIS)) {
        return t - sentAt;
      }
    }
    throw new AssertionError("never replaced");
  }

  /** Guards against requests to a sound peer that wait for long on a dead connection. */
  @Test
  void deadConnectionOfFastPeerIsReplacedAfterOneTimeout() {
    limit.requestSent(0);
    limit.frameArrived(5);
    assertEquals(TIMEOUT_MILLIS, replacedAfter(100));
  }

  /** Guards against the replacement of a connection whose peer answers after two timeouts. */
  @Test
  void slowPeerGetsAsMuchTimeAsItNeededBefore() {
    limit.requestSent(0);
    limit.frameArrived(1_700);
    limit.requestSent(2_000);
    assertFalse(limit.expire(3_900, TIMEOUT_MILLIS));
    limit.frameArrived(3_900);
    assertFalse(limit.expire(9_000, TIMEOUT_MILLIS), "no request waits");
  }

  /** Guards against a dead connection that is kept for as long as a peer was ever slow. */
  @Test
  void deadConnectionIsReplacedBeforeProcessesCountAsInTouch() {
    limit.requestSent(0);
    limit.frameArrived(60_000);
    assertTrue(replacedAfter(60_000) < CONTACT_MILLIS);
    for (int i = 0; i < 10; i++) {
      limit.requestSent(70_000 + i * 100);
      limit.frameArrived(70_000 + i * 100 + 5);
    }
    assertEquals(TIMEOUT_MILLIS, replacedAfter(80_000));
  }

  /** Guards against silence that is counted from before the connection was opened. */
  @Test
  void silenceCountsFromTheOpeningOfTheConnection() {
    limit.requestSent(0);
    limit.opened(800);
    assertFalse(limit.expire(1_600, TIMEOUT_MILLIS));
    assertTrue(limit.expire(1_700, TIMEOUT_MILLIS));
  }
}
