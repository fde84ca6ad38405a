package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.ServingState;
import org.junit.jupiter.api.Test;

class FleetViewTest {
  private static final byte[] VALID = {1};
  private static final byte[] INVALID = {2};

  private final FleetView view =
      new FleetView(
          FleetViewTest::decode, new FakeWallClock(new ManualTimerService()).newDetector());

  private static ServingConfig decode(byte[] content) {
    if (content[0] == INVALID[0]) {
      throw new EbonypondException(ErrorCode.DOCUMENT_BAD_VALUE, 1, "", "is invalid", "correct it");
    }
    return new ServingConfig(1, List.of(), Map.of(), List.of(), ClientLimits.DEFAULT);
  }

  private void zones(long index, List<String> out, long now) {
    state(1, VALID, index, out, now);
  }

  private void state(long version, byte[] content, long index, List<String> out, long now) {
    ServingState.Committed s =
        new ServingState.Committed(version, content, index, out, true, 0, List.of());
    view.accept(
        "r",
        new FleetPollResult(
            1, 1, version, index, true, s, List.of(), List.of(), null, 1, 0, List.of(), null,
            List.of(), List.of(), 0),
        now,
        now);
  }

  /**
   * Guards against an entry that removes instances whose heartbeats have reported no change for a
   * minute.
   */
  @Test
  void instancesWithUnchangedHeartbeatsAreKept() {
    InstanceTable table = new InstanceTable(service -> true);
    long cursor = 0;
    for (long now = 0; now < 300_000; now += 1_000) {
      table.merge(PollNetwork.instance("i-1", now), 0, now);
      table.merge(PollNetwork.instance("i-2", now), 0, now);
      if (now == 150_000) {
        table.merge(PollNetwork.instance("i-new", now), 0, now);
      }
      table.prune(now);
      InstanceTable.Changes c = table.changedSince(cursor, 100, now);
      cursor = c.cursor();
      view.accept(
          "r",
          new FleetPollResult(
              1,
              cursor,
              1,
              0,
              true,
              null,
              c.records(),
              List.of(),
              null,
              1,
              0,
              List.of(),
              null,
              List.of(),
              List.of(),
              0),
          now,
          now);
      assertNotNull(view.instance("i-1"), "after " + now + " ms");
      assertNotNull(view.instance("i-2"), "after " + now + " ms");
    }
  }

  /** Guards against full load on instances that became cold while their zone was out of service. */
  @Test
  void instancesOfRestoredZoneMayBeColdUntilTheyReport() {
    zones(1, List.of("a"), 0);
    assertFalse(view.isRecentlyRestored("a", 10));
    zones(2, List.of(), 5_000);
    assertTrue(view.isRecentlyRestored("a", 5_000));
    assertTrue(view.isRecentlyRestored("a", 7_500));
    assertFalse(view.isRecentlyRestored("a", 8_000));
    assertFalse(view.isRecentlyRestored("b", 5_000));
  }

  /**
   * Guards against an entry that requests the whole configuration with each poll because it cannot
   * decode it, and against refusals for good by the one before.
   */
  @Test
  void configurationThatCannotBeDecodedIsRequestedOnceAndConfirmsNothing() {
    state(1, VALID, 0, List.of(), 1_000);
    assertEquals(1_000, view.confirmedAt());
    state(2, INVALID, 0, List.of(), 1_100);
    assertEquals(1, view.version());
    assertEquals(2, view.receivedVersion());
    assertEquals(Long.MIN_VALUE, view.confirmedAt());
    assertEquals(-1, view.configAgeMillis(1_100));
    state(3, VALID, 0, List.of(), 1_200);
    assertEquals(3, view.version());
    assertEquals(1_200, view.confirmedAt());
  }
}
