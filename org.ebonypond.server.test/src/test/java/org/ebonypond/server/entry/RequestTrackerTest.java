package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.drain.ShutdownSequence.Action;
import org.ebonypond.server.entry.EntryFixture.Caller;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that interrupts requests or never completes. */
class RequestTrackerTest {
  private static final long NOTICE_MILLIS = 4_000;

  private final EntryFixture entry = new EntryFixture(1, 1, 1);
  private final List<Action> actions = new ArrayList<>();
  private final RequestTracker tracker =
      new RequestTracker(entry.timers, NOTICE_MILLIS, actions::add);

  private Caller begin(long deadlineMillis) {
    assertTrue(tracker.tryBegin());
    Caller c = entry.call(deadlineMillis);
    c.onEnd = tracker::end;
    return c;
  }

  @Test
  void answersQueuedRequestsBeforeExit() {
    final Caller streaming = begin(30_000);
    tracker.signal();
    assertFalse(tracker.isReady());
    final Caller waiting = begin(30_000);
    assertEquals(1, entry.engines.attempts.size());
    entry.timers.advance(NOTICE_MILLIS);
    assertFalse(tracker.tryBegin());
    assertEquals(List.of(Action.REPORT_NOT_READY), actions);
    entry.engines.attempts.forEach(a -> a.chunk(0, true));
    assertTrue(streaming.done);
    entry.timers.advance(100);
    assertEquals(List.of(Action.REPORT_NOT_READY), actions);
    entry.engines.last().chunk(0, true);
    assertTrue(waiting.done);
    assertEquals(List.of(Action.REPORT_NOT_READY, Action.RETURN_SHARES), actions);
    tracker.sharesReturned();
    tracker.sharesReturned();
    entry.timers.advance(60_000);
    assertEquals(List.of(Action.REPORT_NOT_READY, Action.RETURN_SHARES, Action.EXIT), actions);
    entry.assertIdle();
  }

  @Test
  void exitsAfterTheLongestDeadlineWithoutTheLeader() {
    final Caller unanswered = begin(9_000);
    final Caller waiting = begin(8_000);
    tracker.signal();
    tracker.signal();
    entry.timers.advance(9_000);
    assertTrue(unanswered.ended() && waiting.ended());
    assertEquals(0, tracker.inFlight());
    entry.timers.advance(3_000);
    assertEquals(List.of(Action.REPORT_NOT_READY, Action.RETURN_SHARES, Action.EXIT), actions);
    entry.assertIdle();
  }

  @Test
  void keepsServingForTheNoticeTimeWithoutRequests() {
    tracker.signal();
    entry.timers.advance(NOTICE_MILLIS - 1);
    assertEquals(List.of(Action.REPORT_NOT_READY), actions);
    assertTrue(tracker.tryBegin());
    entry.timers.advance(1);
    assertEquals(List.of(Action.REPORT_NOT_READY), actions);
    tracker.end();
    assertEquals(List.of(Action.REPORT_NOT_READY, Action.RETURN_SHARES), actions);
  }
}
