package org.ebonypond.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ebonypond.drain.ShutdownSequence.Action;
import org.junit.jupiter.api.Test;

class ShutdownSequenceTest {
  private final ShutdownSequence sequence = new ShutdownSequence(5_000);

  /**
   * Guards against interrupted requests, and against refusals while the load balancer still sends.
   */
  @Test
  void requestsInFlightFinishBeforeTheExit() {
    assertTrue(sequence.tryBegin(0));
    assertEquals(List.of(Action.REPORT_NOT_READY), sequence.onSignal(1_000));
    assertFalse(sequence.isReady());
    assertTrue(sequence.tryBegin(5_999));
    assertFalse(sequence.tryBegin(6_000));
    assertEquals(List.of(), sequence.onTimer(6_000));
    assertEquals(List.of(), sequence.requestEnded(7_000));
    assertEquals(List.of(Action.RETURN_SHARES), sequence.requestEnded(60_000));
    assertEquals(List.of(Action.EXIT), sequence.onSharesReturned());
  }

  /** Guards against a second signal that interrupts requests in flight. */
  @Test
  void secondSignalChangesNothing() {
    sequence.tryBegin(0);
    sequence.onSignal(0);
    assertEquals(List.of(), sequence.onSignal(10));
    assertEquals(List.of(), sequence.onTimer(5_000));
    assertEquals(List.of(), sequence.onSignal(6_000));
    assertEquals(ShutdownSequence.Phase.FINISHING, sequence.phase());
  }

  /**
   * Guards against an exit before the notice time, and against one that waits for an unreachable
   * leader.
   */
  @Test
  void idleEntryWaitsForTheNoticeAndNotForTheLeader() {
    sequence.onSignal(0);
    assertEquals(List.of(), sequence.onTimer(4_999));
    assertEquals(List.of(Action.RETURN_SHARES), sequence.onTimer(sequence.nextWakeMillis()));
    assertEquals(List.of(Action.EXIT), sequence.onTimer(sequence.nextWakeMillis()));
    assertEquals(List.of(), sequence.onTimer(10_000));
  }
}
