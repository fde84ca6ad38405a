package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.junit.FakeFleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Reports that say less of an instance than the planner concludes from them. */
class OddReportsTest {
  private static final String SERVICE = "engines";
  private static final long NOW = 100_000;

  /** A sound instance may be silent for a second and go on. */
  private static final long SILENCE_MILLIS = 1_000;

  private final FleetPlanner planner =
      new FleetPlanner(
          2 * FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.STALL_MILLIS,
          new WeightLoadLimiter(5_000));

  /**
   * Guards against a group that is dissolved although all of its members report that it serves,
   * because one entry had one failure at its head and nobody has sent a request there since.
   */
  @Test
  void idleGroupIsKeptAfterOneFailureOfOneEntry() {
    planner.startTerm(2, false, 4, 0);
    List<FleetInstance> all =
        List.of(instance("a", member(0, MemberState.OPEN)), instance("b", member(1, null)));
    InstanceLoad load = new InstanceLoad("a", epoch(), 0, 0, InstanceLoad.NEVER, 3_000);
    assertFalse(isGivenUp(plan(all, Map.of("a", load), NOW)));
  }

  /**
   * Guards against a group that is dissolved after a short silence, because an entry had a failure
   * at its head long ago and has sent no request there since, while others saw it progress.
   */
  @Test
  void groupThatWasSilentForShortTimeIsKept() {
    planner.startTerm(2, false, 4, 0);
    List<FleetInstance> all =
        List.of(instance("a", member(0, MemberState.OPEN)), instance("b", member(1, null)));
    for (long t = 0; t < 3_000; t += 100) {
      assertFalse(isGivenUp(plan(all, Map.of("a", load(50, t)), NOW + t)));
    }
    for (long silent = 0; silent <= 2_400; silent += 100) {
      Map<String, InstanceLoad> loads = Map.of("a", load(silent, 3_000 + silent));
      assertFalse(isGivenUp(plan(all, loads, NOW + 3_000 + silent)));
    }
  }

  /** Guards against a group that is kept although it makes no progress for good. */
  @Test
  void groupThatIsSilentForGoodIsGivenUp() {
    planner.startTerm(2, false, 4, 0);
    List<FleetInstance> all =
        List.of(instance("a", member(0, MemberState.OPEN)), instance("b", member(1, null)));
    plan(all, Map.of("a", load(50, 0)), NOW);
    assertTrue(isGivenUp(plan(all, Map.of("a", load(2_600, 2_600)), NOW + 2_600)));
  }

  private static boolean isGivenUp(List<FleetOrder> orders) {
    return orders.stream().anyMatch(o -> o.kind() == FleetOrder.Kind.LEAVE);
  }

  private static InstanceLoad load(long idleMillis, long failingMillis) {
    return new InstanceLoad("a", epoch(), 3, 0, idleMillis, failingMillis);
  }

  /**
   * Guards against a group that is dissolved, and ends its answers, because one of its members was
   * silent for a second and its heartbeat is late by as much.
   */
  @Test
  void groupIsKeptWhileItsMemberIsSilentForSecond() {
    planner.startTerm(2, false, 4, 0);
    List<InstanceUpdate> all =
        List.of(
            new InstanceUpdate(instance("a", member(0, MemberState.OPEN)), 100),
            new InstanceUpdate(
                instance("b", member(1, null)), FakeFleet.HEARTBEAT_MILLIS + SILENCE_MILLIS));
    InstanceLoad load = new InstanceLoad("a", epoch(), 4, 0, SILENCE_MILLIS, 0);
    Map<String, InstanceLoad> loads = Map.of("a", load);
    assertFalse(isGivenUp(planner.plan(all, loads, SERVICE, FakeFleet.twoModels(), false, NOW)));
  }

  /**
   * Guards against a member that joins another group while its group serves, because another
   * instance reports the same place in it.
   */
  @Test
  void memberWhosePlaceAnotherInstanceReportsIsNotTaken() {
    planner.startTerm(2, false, 4, 0);
    List<FleetInstance> all =
        List.of(
            instance("a", member(0, MemberState.OPEN)),
            instance("b", member(1, null)),
            instance("c", member(1, null)),
            instance("d", null));
    List<String> joined = new ArrayList<>();
    for (long t = NOW; t < NOW + 10_000; t += 500) {
      plan(all, Map.of(), t).stream()
          .filter(o -> o.kind() == FleetOrder.Kind.JOIN)
          .forEach(o -> joined.add(o.instance()));
    }
    assertEquals(List.of(), joined);
  }

  private List<FleetOrder> plan(
      List<FleetInstance> all, Map<String, InstanceLoad> loads, long now) {
    List<InstanceUpdate> updates = all.stream().map(i -> new InstanceUpdate(i, 100)).toList();
    return planner.plan(updates, loads, SERVICE, FakeFleet.twoModels(), false, now);
  }

  private static long epoch() {
    return (1L << 24) + 1;
  }

  private static GroupMembership member(int rank, @Nullable MemberState state) {
    String name = new GroupName("small", 2, epoch()).text();
    return new GroupMembership(name, epoch(), rank, state == null ? MemberState.READY : state);
  }

  private static FleetInstance instance(String id, @Nullable GroupMembership g) {
    return new FleetInstance(
        id,
        1,
        80,
        SERVICE,
        "10.0.0.1:" + (1_000 + id.charAt(0)),
        "zone",
        InstancePhase.READY,
        18,
        0,
        "domain",
        List.of("small"),
        List.of("small"),
        g,
        "small");
  }
}
