package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.server.http.Problem;
import org.junit.jupiter.api.Test;

class EntryPartsTest {
  /** Longer than the lease on a view, in milliseconds. */
  private static final long LEASE_EXPIRED_MILLIS = 10_000;

  private final EntryFixture entry = new EntryFixture(1, 1, 1);

  /**
   * Guards against an entry that is cut off and refuses a new workspace, model or service for good
   * by a document that may have been replaced.
   */
  @Test
  void outdatedDocumentDecidesAboutNoRequest() {
    entry.peers.connected = false;
    entry.timers.advance(LEASE_EXPIRED_MILLIS);
    EbonypondException e =
        assertThrows(EbonypondException.class, () -> entry.parts.currentDocument());
    assertEquals(ErrorCode.VIEW_STALE, e.code());
    Problem p = Problem.of(e);
    assertEquals(503, p.status());
    assertEquals(1, p.retryAfterSeconds());
  }
}
