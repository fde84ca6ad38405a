package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.junit.FakeFleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** A head that has confirmed the order to leave its group and reports the group afterwards. */
class ReturnedHeadTest {
  private static final String SERVICE = "engines";
  private static final long EPOCH = (1L << 24) + 1;
  private static final String GROUP = "small.2." + EPOCH;

  private final FleetPlanner planner =
      new FleetPlanner(
          2 * FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.STALL_MILLIS,
          new WeightLoadLimiter(5_000));

  /**
   * Guards against an order to join that is sent to a head which serves its old group again: its
   * heartbeat says so, and was taken for one that is older than the answer.
   */
  @Test
  void headThatServesAgainIsNotOrderedToJoinAnotherGroup() {
    final long left = headLeaves();
    FleetInstance returned = instance("a", 30, MemberState.OPEN);
    List<FleetInstance> all = List.of(returned, instance("c", 1, null));
    assertEquals(List.of(), joinsOf("a", all, left + 3_000, 100));
  }

  /**
   * Guards against members that wait because the last heartbeat before the answer came after it.
   */
  @Test
  void heartbeatThatIsOlderThanTheAnswerHoldsNobodyBack() {
    final long left = headLeaves();
    FleetInstance late = instance("a", 30, MemberState.READY);
    List<FleetInstance> all = List.of(late, instance("c", 1, null));
    assertEquals(1, joinsOf("a", all, left + 100, 0).size());
  }

  /** Makes the head of a group without its other member leave; returns when it confirms that. */
  private long headLeaves() {
    planner.startTerm(1, true, 4, 0);
    long now = 200_000;
    List<FleetOrder> leaves = List.of();
    while (leaves.isEmpty()) {
      now += 100;
      leaves =
          plan(List.of(instance("a", 20, MemberState.OPEN)), now, 100).stream()
              .filter(o -> o.kind() == FleetOrder.Kind.LEAVE && o.instance().equals("a"))
              .toList();
    }
    planner.answered(leaves.get(0), OrderOutcome.ACCEPTED, now + 10);
    return now + 10;
  }

  private List<FleetOrder> joinsOf(String id, List<FleetInstance> all, long from, long ageMillis) {
    List<FleetOrder> joins = new ArrayList<>();
    for (long t = from; t < from + 800; t += 100) {
      plan(all, t, ageMillis + t - from).stream()
          .filter(o -> o.kind() == FleetOrder.Kind.JOIN && o.instance().equals(id))
          .forEach(joins::add);
    }
    return joins;
  }

  private List<FleetOrder> plan(List<FleetInstance> all, long now, long ageMillis) {
    List<InstanceUpdate> updates = all.stream().map(i -> new InstanceUpdate(i, ageMillis)).toList();
    return planner.plan(updates, Map.of(), SERVICE, FakeFleet.twoModels(), false, now);
  }

  private static FleetInstance instance(String id, long sequence, @Nullable MemberState state) {
    return new FleetInstance(
        id,
        1,
        sequence,
        SERVICE,
        "10.0.0.1:" + (1_000 + id.charAt(0)),
        "zone",
        InstancePhase.READY,
        18,
        0,
        "domain",
        List.of("small"),
        List.of("small"),
        state == null ? null : new GroupMembership(GROUP, EPOCH, 0, state),
        "small");
  }
}
