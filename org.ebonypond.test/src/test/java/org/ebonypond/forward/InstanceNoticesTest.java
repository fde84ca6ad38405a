package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class InstanceNoticesTest {
  private static final String ID = "i-1";

  private final InstanceNotices notices = new InstanceNotices();

  /** Guards against an instance that starts again under its name and gets no requests. */
  @Test
  void noticeEndsWithTheStartThatGaveIt() {
    assertTrue(notices.leaves(ID, 5));
    assertFalse(notices.leaves(ID, 5), "known already");
    assertTrue(notices.pauses(ID, 5, 9_000, 0));
    assertTrue(notices.isLeaving(ID, 5));
    assertFalse(notices.isLeaving(ID, 6));
    assertFalse(notices.isPaused(ID, 6, 100));
    assertTrue(notices.pauses(ID, 6, 200, 100));
    assertFalse(notices.isLeaving(ID, 5), "the earlier start is forgotten");
  }

  /** Guards against a shorter pause that ends a longer one, and a pause without an end. */
  @Test
  void longestPauseHolds() {
    notices.pauses(ID, 5, 2_000, 0);
    assertFalse(notices.pauses(ID, 5, 1_000, 500));
    assertTrue(notices.isPaused(ID, 5, 1_999));
    assertFalse(notices.isPaused(ID, 5, 2_000));
    assertTrue(notices.pauses(ID, 5, 3_000, 2_000), "a new one");
  }

  /** Guards against memory that grows with the instances that ever left. */
  @Test
  void unknownInstancesAreForgotten() {
    notices.leaves(ID, 5);
    notices.leaves("i-2", 5);
    notices.retain(ID::equals);
    assertTrue(notices.isLeaving(ID, 5));
    assertFalse(notices.isLeaving("i-2", 5));
  }
}
