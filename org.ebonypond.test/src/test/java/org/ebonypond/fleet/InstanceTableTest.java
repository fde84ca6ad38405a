package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.serving.Departure;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class InstanceTableTest {
  private static final String UNKNOWN_SERVICE = "unknown";

  private final InstanceTable table = new InstanceTable(s -> !s.equals(UNKNOWN_SERVICE));

  private static FleetInstance heartbeat(
      String id, long startMillis, long sequence, String address, @Nullable GroupMembership group) {
    return heartbeat(id, startMillis, sequence, "s", address, group);
  }

  private static FleetInstance heartbeat(
      String id,
      long startMillis,
      long sequence,
      String service,
      String address,
      @Nullable GroupMembership group) {
    return new FleetInstance(
        id,
        startMillis,
        sequence,
        service,
        address,
        "z",
        InstancePhase.READY,
        1,
        0,
        "d",
        List.of(),
        List.of(),
        group,
        "");
  }

  private InstancePhase phase(String id) {
    FleetInstance i = table.get(id);
    return i == null ? InstancePhase.GONE : i.phase();
  }

  /** Guards against a delayed heartbeat that overwrites a later one. */
  @Test
  void lateHeartbeatIsIgnored() {
    table.merge(heartbeat("i", 1, 5, "a:1", null), 0, 100);
    assertFalse(table.merge(heartbeat("i", 1, 4, "a:2", null), 0, 110));
    assertEquals("a:1", table.all(110).get(0).instance().address());
  }

  /** Guards against an instance that the log says has left and that gets requests. */
  @Test
  void departureAppliesToTheIncarnationThatAnnouncedIt() {
    table.merge(heartbeat("draining", 1, 5, "a:1", null), 0, 100);
    table.merge(heartbeat("gone", 1, 5, "a:2", null), 0, 100);
    table.merge(heartbeat("restarted", 9, 1, "a:3", null), 0, 100);
    final long cursor = table.cursor();
    table.depart(
        List.of(
            new Departure("draining", 1, 6),
            Departure.deregistered("gone", 1),
            Departure.deregistered("restarted", 1),
            Departure.deregistered("unknown", 1)),
        110);
    assertEquals(InstancePhase.DRAINING, phase("draining"));
    assertEquals(InstancePhase.GONE, phase("gone"));
    assertEquals(InstancePhase.READY, phase("restarted"));
    assertEquals(3, table.changedSince(cursor, 100, 110).records().size());
    table.merge(heartbeat("draining", 1, 5, "a:1", null), 0, 120);
    assertEquals(InstancePhase.DRAINING, phase("draining"));
  }

  /** Guards against a record from before a departure that a restarted replica receives after it. */
  @Test
  void departureAppliesToRecordsThatArriveLater() {
    table.depart(List.of(new Departure("i", 1, 6), Departure.deregistered("j", 1)), 100);
    table.merge(heartbeat("i", 1, 5, "a:1", null), 0, 110);
    table.merge(heartbeat("j", 1, 5, "a:2", null), 0, 110);
    assertEquals(InstancePhase.DRAINING, phase("i"));
    assertEquals(InstancePhase.GONE, phase("j"));
    table.merge(heartbeat("i", 2, 1, "a:1", null), 0, 120);
    table.merge(heartbeat("j", 2, 1, "a:2", null), 0, 120);
    assertEquals(InstancePhase.READY, phase("i"));
    assertEquals(InstancePhase.READY, phase("j"));
  }

  /** Guards against a late heartbeat that revives a deregistered instance. */
  @Test
  void deregisteredInstanceStaysGoneUntilItStartsAgain() {
    table.merge(heartbeat("i", 1, 5, "a:1", null), 0, 100);
    table.remove("i", 1_000, 110);
    table.merge(heartbeat("i", 1, 6, "a:1", null), 0, 120);
    assertEquals(InstancePhase.GONE, phase("i"));
    table.merge(heartbeat("i", 2, 1, "a:1", null), 0, 130);
    assertEquals(InstancePhase.READY, phase("i"));
  }

  /** Guards against requests to an address that another instance has taken over. */
  @Test
  void laterStartAtAnAddressEndsTheEarlierInstance() {
    table.merge(heartbeat("old", 1, 5, "a:1", null), 0, 100);
    table.merge(heartbeat("new", 2, 1, "a:1", null), 0, 110);
    assertEquals(InstancePhase.GONE, phase("old"));
    assertEquals(InstancePhase.READY, phase("new"));
  }

  /**
   * Guards against a heartbeat delayed by a partition that arrives after its sender has crashed.
   */
  @Test
  void earlierStartAtAnAddressDoesNotReplaceTheLaterOne() {
    table.merge(heartbeat("new", 2, 1, "a:1", null), 0, 100);
    table.merge(heartbeat("old", 1, 5, "a:1", null), 0, 110);
    assertEquals(InstancePhase.GONE, phase("old"));
    assertEquals(InstancePhase.READY, phase("new"));
  }

  /** Guards against an instance that gets no requests because another writer named its address. */
  @Test
  void instanceOfAnUnknownServiceEndsNoInstanceAtItsAddress() {
    table.merge(heartbeat("i", 1, 5, "a:1", null), 0, 100);
    table.merge(heartbeat("odd", 2, 1, UNKNOWN_SERVICE, "a:1", null), 0, 110);
    assertEquals(InstancePhase.READY, phase("i"));
    table.merge(heartbeat("i", 1, 6, "a:1", null), 0, 120);
    assertEquals(InstancePhase.READY, phase("i"));
    table.merge(heartbeat("next", 3, 1, "a:1", null), 0, 130);
    assertEquals(InstancePhase.GONE, phase("i"));
  }

  /** Guards against a warm instance that counts as cold after it has left its group. */
  @Test
  void modelOfTheLatestGroupIsKeptUntilRestart() {
    GroupMembership g = new GroupMembership("m.4.7", 7, 0, MemberState.OPEN);
    table.merge(heartbeat("i", 1, 1, "a:1", g), 0, 100);
    table.merge(heartbeat("i", 1, 2, "a:1", null), 0, 110);
    assertTrue(table.all(110).get(0).instance().isWarmFor("m"));
    table.merge(heartbeat("i", 2, 1, "a:1", null), 0, 120);
    assertFalse(table.all(120).get(0).instance().isWarmFor("m"));
  }

  /** Guards against entries that miss a change or receive every heartbeat. */
  @Test
  void readersReceiveChangesAfterTheirCursor() {
    table.merge(heartbeat("i", 1, 1, "a:1", null), 0, 100);
    long cursor = table.cursor();
    table.merge(heartbeat("i", 1, 2, "a:1", null), 0, 110);
    assertEquals(0, table.changedSince(cursor, 9, 110).records().size());
    assertEquals(1, table.unchangedSince(cursor, 110).size());
    table.merge(heartbeat("i", 1, 3, "a:2", null), 0, 120);
    assertEquals(1, table.changedSince(cursor, 9, 120).records().size());
    assertEquals(0, table.unchangedSince(cursor, 120).size());
  }

  /** Guards against a heartbeat of an ended incarnation that confirms the next one. */
  @Test
  void heartbeatWithoutChangesConfirmsOnlyTheRecordThatItRepeats() {
    table.confirm(new UnchangedHeartbeat("i", 1, 9, 0), 90);
    assertEquals(0, table.all(90).size());
    table.merge(heartbeat("i", 2, 1, "a:1", null), 0, 100);
    table.confirm(new UnchangedHeartbeat("i", 1, 9, 0), 200);
    assertEquals(100, table.all(200).get(0).ageMillis());
    table.confirm(new UnchangedHeartbeat("i", 2, 2, 10), 300);
    assertEquals(10, table.all(300).get(0).ageMillis());
    table.confirm(new UnchangedHeartbeat("i", 2, 2, 0), 400);
    assertEquals(110, table.all(400).get(0).ageMillis());
  }

  /** Guards against sending the whole fleet at once, and against records missed between batches. */
  @Test
  void longListsOfChangesAreSplitIntoBatches() {
    for (int i = 0; i < 25; i++) {
      table.merge(heartbeat("i-" + i, 1, 1, "a:" + i, null), 0, 100);
    }
    table.merge(heartbeat("i-3", 1, 2, "b:3", null), 0, 110);
    Set<String> read = new HashSet<>();
    InstanceTable.Changes c = table.changedSince(0, 10, 120);
    for (int batches = 1; !c.complete(); batches++) {
      assertEquals(10, c.records().size());
      c.records().forEach(u -> read.add(u.instance().id()));
      // A change during the reading is in a later batch.
      table.merge(heartbeat("i-" + batches, 1, 9, "c:" + batches, null), 0, 120);
      c = table.changedSince(c.cursor(), 10, 120);
      assertTrue(batches < 4);
    }
    c.records().forEach(u -> read.add(u.instance().id()));
    assertEquals(25, read.size());
    assertEquals(table.cursor(), c.cursor());
  }
}
