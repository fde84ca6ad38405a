package org.ebonypond.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class ViewLeaseTest {
  private static final VoterSet THREE = new VoterSet(1, Set.of("a", "b", "c"));

  private final ViewLease lease = new ViewLease();

  /** Guards against a view that lacks an entry committed before the poll. */
  @Test
  void viewIsFreshOnceTheMajorityMaximumIsApplied() {
    long p = lease.startPoll(100);
    lease.onReply(p, "a", THREE, 7);
    assertFalse(lease.mayStart(110));
    lease.onReply(p, "b", THREE, 9);
    lease.onApplied(8);
    assertFalse(lease.mayStart(120));
    lease.onApplied(9);
    assertTrue(lease.mayStart(130));
    assertEquals(100, lease.freshAsOf());
  }

  /** Guards against waiting for the index of a replica that is ahead of the majority. */
  @Test
  void thirdReplyLowersTheIndexThatMustBeApplied() {
    long p = lease.startPoll(0);
    lease.onApplied(7);
    lease.onReply(p, "a", THREE, 7);
    lease.onReply(p, "b", THREE, 9);
    assertFalse(lease.mayStart(10));
    lease.onReply(p, "c", THREE, 6);
    assertTrue(lease.mayStart(10));
  }

  /** Guards against counting duplicate replies or learners towards a majority. */
  @Test
  void duplicateRepliesAndLearnersDoNotCount() {
    long p = lease.startPoll(0);
    lease.onReply(p, "a", THREE, 0);
    lease.onReply(p, "a", THREE, 0);
    lease.onReply(p, "learner", THREE, 0);
    assertFalse(lease.mayStart(10));
  }

  /** Guards against a majority that includes replaced voters after a configuration change. */
  @Test
  void newestConfigurationCounts() {
    VoterSet next = new VoterSet(5, Set.of("b", "c", "d"));
    long p = lease.startPoll(0);
    lease.onApplied(5);
    lease.onReply(p, "b", next, 5);
    lease.onReply(p, "a", THREE, 4);
    assertFalse(lease.mayStart(10));
    lease.onReply(p, "d", next, 5);
    assertTrue(lease.mayStart(10));
  }

  /**
   * Guards against requests of an entry that was suspended and processes old replies afterwards.
   */
  @Test
  void leaseIsCountedFromTheTimeOfTheSend() {
    long p = lease.startPoll(0);
    lease.onReply(p, "a", THREE, 0);
    lease.onReply(p, "b", THREE, 0);
    assertTrue(lease.mayStart(2_999));
    assertFalse(lease.mayStart(3_000));
    long late = lease.startPoll(3_100);
    lease.onReply(late, "a", THREE, 0);
    lease.onReply(late, "b", THREE, 0);
    assertFalse(lease.mayStart(60_000));
  }

  /**
   * Guards against new requests without a fresh view or without a free slot of a starting server.
   */
  @Test
  void guardNeedsLeaseAndSlot() {
    ShareTarget target = new ShareTarget("s", "b");
    ShareHolder holder = new ShareHolder(new HolderId("e", 1));
    ColdStartGuard guard = new ColdStartGuard(lease, holder);
    guard.onBoot(target);
    assertEquals(ColdStartGuard.Decision.VIEW_STALE, guard.tryStart(target, 0));
    long p = lease.startPoll(0);
    lease.onReply(p, "a", THREE, 0);
    lease.onReply(p, "b", THREE, 0);
    assertEquals(ColdStartGuard.Decision.NO_SLOT, guard.tryStart(target, 10));
  }
}
