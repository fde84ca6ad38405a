package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.junit.FakeFleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Orders to join that had no answer and are executed after the group was abandoned. */
class LateJoinTest {
  private static final String SERVICE = "engines";

  private final FleetPlanner planner =
      new FleetPlanner(
          2 * FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.STALL_MILLIS,
          new WeightLoadLimiter(5_000));

  /**
   * Guards against a group that opens although a member may still execute an order to join a later
   * group, which was abandoned.
   */
  @Test
  void groupIsNotOpenedWhileMemberMayJoinAnAbandonedOne() {
    planner.startTerm(2, false, 4, 0);
    List<FleetOrder> joins = joins(List.of(instance("a", null), instance("b", null)), 10_000);
    assertTrue(joins.isEmpty());
    joins = joins(List.of(instance("a", null), instance("b", null)), 20_000);
    assertEquals(2, joins.size());
    final FleetOrder first = joins.get(0);
    planner.answered(joins.get(0), OrderOutcome.ACCEPTED, 20_010);
    // The instance executes this order later.
    planner.answered(joins.get(1), OrderOutcome.UNKNOWN, 21_200);
    FleetInstance head = instance("a", member(first, 0, MemberState.READY));
    joins = joins(List.of(head, instance("b", null)), 22_800);
    assertEquals(1, joins.size());
    planner.answered(joins.get(0), OrderOutcome.REFUSED, 22_810);
    List<FleetInstance> all = List.of(head, instance("b", null), instance("c", null));
    joins = List.of();
    long now = 22_900;
    while (joins.isEmpty() && now < 29_000) {
      joins = joins(all, now);
      now += 100;
    }
    assertEquals(2, joins.size(), "no second group");
    for (FleetOrder o : joins) {
      boolean late = o.instance().equals("a");
      planner.answered(o, late ? OrderOutcome.UNKNOWN : OrderOutcome.REFUSED, now);
    }
    FleetInstance last = instance("b", member(first, 1, MemberState.READY));
    List<FleetOrder> opens = new ArrayList<>();
    for (long t = now + 100; t < now + 5_000; t += 100) {
      plan(List.of(head, last, instance("c", null)), t).stream()
          .filter(o -> o.kind() == FleetOrder.Kind.OPEN)
          .forEach(opens::add);
    }
    assertEquals(List.of(), opens);
  }

  /**
   * Guards against a group that is abandoned because a member has sent too many heartbeats by the
   * time of the repeated order to count as new.
   */
  @Test
  void joinIsRepeatedToInstanceThatWasNew() {
    planner.startTerm(2, false, 4, 0);
    List<FleetOrder> joins = joins(List.of(instance("a", 2), instance("b", 2)), 2_000);
    assertEquals(2, joins.size());
    planner.answered(joins.get(0), OrderOutcome.UNKNOWN, 3_200);
    planner.answered(joins.get(1), OrderOutcome.ACCEPTED, 2_010);
    FleetInstance member = instance("b", member(joins.get(1), 1, MemberState.JOINING));
    List<FleetOrder> repeated = new ArrayList<>();
    for (long t = 3_300; t < 5_000; t += 100) {
      repeated.addAll(joins(List.of(instance("a", 4), member), t));
    }
    assertEquals(List.of(joins.get(0)), repeated);
  }

  private List<FleetOrder> joins(List<FleetInstance> all, long now) {
    return plan(all, now).stream().filter(o -> o.kind() == FleetOrder.Kind.JOIN).toList();
  }

  private List<FleetOrder> plan(List<FleetInstance> all, long now) {
    List<InstanceUpdate> updates = all.stream().map(i -> new InstanceUpdate(i, 100)).toList();
    return planner.plan(updates, Map.of(), SERVICE, FakeFleet.twoModels(), false, now);
  }

  private static GroupMembership member(FleetOrder join, int rank, MemberState state) {
    return new GroupMembership(join.group(), join.epoch(), rank, state);
  }

  private static FleetInstance instance(String id, long sequence) {
    return instance(id, sequence, null);
  }

  private static FleetInstance instance(String id, @Nullable GroupMembership g) {
    return instance(id, 80, g);
  }

  private static FleetInstance instance(String id, long sequence, @Nullable GroupMembership g) {
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
        g,
        "small");
  }
}
