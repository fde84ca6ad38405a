package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.ServingState;
import org.junit.jupiter.api.Test;

class FleetViewTest {
  private final FleetView view =
      new FleetView(
          content -> new ServingConfig(1, List.of(), Map.of(), List.of(), ClientLimits.DEFAULT));

  private void zones(long index, List<String> out, long now) {
    ServingState.Committed s =
        new ServingState.Committed(1, new byte[1], index, out, true, 0, List.of());
    view.accept(
        new FleetPollResult(
            1, 1, 1, index, true, s, List.of(), List.of(), null, 1, 0, List.of(), null, List.of(),
            List.of()),
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
              List.of()),
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
}
