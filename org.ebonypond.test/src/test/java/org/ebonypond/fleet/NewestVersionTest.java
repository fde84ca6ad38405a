package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

class NewestVersionTest {
  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final NewestVersion newest = new NewestVersion(wallClock.newDetector());

  private static FleetPollResult answer(long version, long stateAgeMillis) {
    return new FleetPollResult(
        1,
        1,
        version,
        0,
        true,
        null,
        List.of(),
        List.of(),
        null,
        1,
        0,
        List.of(),
        null,
        List.of(),
        List.of(),
        stateAgeMillis);
  }

  /** Guards against taking a configuration for the newest one before any replica has said so. */
  @Test
  void nothingIsConfirmedAtFirst() {
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(7));
    newest.record(answer(7, FleetPollResult.UNCONFIRMED), 1_000);
    newest.record(7, Long.MIN_VALUE);
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(7));
  }

  /** Guards against an answer that was delayed for long and confirms the time of its arrival. */
  @Test
  void answerConfirmsTheTimeOfItsPollLessItsAge() {
    newest.record(answer(7, 150), 1_000);
    assertEquals(850, newest.confirmedAt(7));
    assertEquals(850, newest.confirmedAt(8));
  }

  /** Guards against a stale replica that undoes what a current one has confirmed. */
  @Test
  void olderKnowledgeIsIgnored() {
    newest.record(answer(8, 100), 1_000);
    newest.record(answer(7, 5_000), 1_100);
    assertEquals(900, newest.confirmedAt(8));
  }

  /**
   * Guards against a replica that never confirms anything while changes come faster than it applies
   * them.
   */
  @Test
  void versionIsConfirmedUntilNewerOneWasKnown() {
    newest.record(answer(7, 0), 1_000);
    newest.record(answer(8, 0), 1_100);
    assertEquals(1_000, newest.confirmedAt(7));
    assertEquals(1_100, newest.confirmedAt(8));
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(6));
    assertTrue(newest.isOutdated(7));
    assertFalse(newest.isOutdated(8));
  }

  /** Guards against memory that grows with each change of the configuration. */
  @Test
  void onlyTheLatestVersionsAreKept() {
    for (long v = 1; v <= 100; v++) {
      newest.record(v, 10 * v);
    }
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(68));
    assertEquals(690, newest.confirmedAt(69));
    assertEquals(1_000, newest.confirmedAt(100));
  }

  /**
   * Guards against requests that are refused for good by an older version, because a log that has
   * lost an acknowledged one reports the older one as the newest.
   */
  @Test
  void olderVersionIsNeverConfirmedAfterNewerOne() {
    newest.record(8, 1_000);
    newest.record(7, 1_100);
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(7));
    assertEquals(1_000, newest.confirmedAt(8));
    assertTrue(newest.isOutdated(7));
    assertEquals(8, newest.version());
    newest.record(9, 1_200);
    assertEquals(1_200, newest.confirmedAt(9));
  }

  /**
   * Guards against requests that are refused for good by a version that was replaced while the
   * process was suspended, also after late answers to earlier polls.
   */
  @Test
  void nothingFromBeforeSuspensionIsConfirmed() {
    timers.advance(1_000);
    newest.record(answer(8, 0), 900);
    wallClock.suspend(5_000);
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(8));
    newest.record(answer(8, 0), 1_000);
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(8));
    newest.record(answer(7, 0), 1_001);
    assertEquals(Long.MIN_VALUE, newest.confirmedAt(7));
    assertTrue(newest.isOutdated(7));
    newest.record(answer(8, 0), 1_001);
    assertEquals(1_001, newest.confirmedAt(8));
  }

  /** Guards against a log that has lost a version unnoticed, and against alarms without a loss. */
  @Test
  void lossOfVersionIsToldFromAnswersThatOvertakeEachOther() {
    assertTrue(newest.record(8, 1_000));
    assertTrue(newest.record(7, 1_100));
    assertTrue(newest.record(7, 10_000));
    assertFalse(newest.record(7, 10_001));
  }
}
