package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ebonypond.junit.FakeFleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Members of a head that lives and is out of reach, beside a change of the leader. */
class HiddenHeadAcrossTermsTest {
  private static final long WINDOW_MILLIS = 5_000;

  private final FakeFleet fleet = new FakeFleet(FakeFleet.twoModels(), 6, 8, 1);
  private final FleetPlanner planner = newPlanner();

  private static FleetPlanner newPlanner() {
    return new FleetPlanner(
        2 * FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.STALL_MILLIS,
        new WeightLoadLimiter(WINDOW_MILLIS));
  }

  /**
   * Guards against members that join another group while their head serves, which stood still when
   * an earlier leader made them leave and reports that it serves when it wakes.
   */
  @Test
  void membersThatLeftInAnEarlierTermWaitForHeadThatWakes() {
    final List<String> members = startedGroup();
    fleet.freeze(members.get(0), 9_500, false);
    runUntilLeft(members.get(1));
    FleetPlanner next = elect();
    fleet.run(next, 1_000, false);
    fleet.refuseOrders(members.get(0), 12_000);
    fleet.run(next, 20_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against members that join another group while their head serves, of which the leader
   * first hears after they have left.
   */
  @Test
  void membersOfHeadFirstHeardOfAfterTheyLeftWait() {
    final List<String> members = startedGroup();
    fleet.freeze(members.get(0), 8_000, false);
    fleet.restartControl();
    FleetPlanner next = elect();
    fleet.run(next, 5_000, false);
    assertTrue(fleet.membersOf(members.get(1)).isEmpty());
    fleet.refuseOrders(members.get(0), 12_000);
    fleet.run(next, 20_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against members that join another group while their head serves, which is not in the
   * leader's table and executes an earlier leader's order to open the group.
   */
  @Test
  void membersOfUnknownHeadThatOpensLateWait() {
    final String head = headWithLateOpening(6_000);
    final List<String> members = fleet.membersOf(head);
    fleet.setCutOff(head, true);
    fleet.restartControl();
    FleetPlanner next = elect();
    fleet.run(next, 25_000, false);
    assertTrue(members.size() >= 2);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against members that join another group while their head serves, which has deregistered
   * and executes an earlier leader's order to open the group.
   */
  @Test
  void membersOfDeregisteredHeadThatOpensLateWait() {
    final String head = headWithLateOpening(6_000);
    fleet.deregister(head);
    FleetPlanner next = elect();
    fleet.run(next, 25_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against members that join another group while their head serves, which executes the
   * order to open the group in the term after the one in which they left.
   */
  @Test
  void membersThatLeftInAnEarlierTermWaitForHeadThatOpensLate() {
    final String head = headWithLateOpening(11_000);
    final List<String> members = fleet.membersOf(head);
    fleet.setCutOff(head, true);
    runUntilLeft(members.get(1));
    FleetPlanner next = elect();
    fleet.run(next, 25_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against members that join another group while their head serves, because the leader,
   * whose process is old, never heard of the group that they have just left.
   */
  @Test
  void membersFirstHeardOfAfterTheyLeftWait() {
    final List<String> members = startedGroup();
    fleet.deregister(members.get(0));
    runUntilLeft(members.get(1));
    fleet.restartControl();
    FleetPlanner next = elect();
    fleet.run(next, 10_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  /**
   * Guards against a new leader that opens a group of an earlier one, whose order to join a later
   * group a member executes afterwards.
   */
  @Test
  void groupOfEarlierLeaderIsNotOpenedWhileMembersMayJoinLaterOne() {
    final List<String> members = fleet.membersOf(headWithLateOpening(60_000));
    fleet.run(1_500);
    FleetInstance member = fleet.table().get(members.get(1));
    assertNotNull(member);
    GroupMembership g = member.group();
    assertNotNull(g);
    assertEquals(MemberState.READY, g.state());
    long epoch = g.epoch() + 10;
    String later = new GroupName("small", 2, epoch).text();
    List<String> ids = members.subList(0, 2);
    FleetOrder join =
        new FleetOrder(FleetOrder.Kind.JOIN, ids.get(1), "", later, epoch, "small", ids, 1);
    fleet.executeLate(join, 5_000);
    fleet.run(elect(), 10_000, false);
    assertEquals(List.of(), fleet.violations());
  }

  private List<String> startedGroup() {
    planner.startTerm(1, true, 4, 0);
    fleet.run(planner, 50_000, true);
    fleet.run(planner, 10_000, false);
    String head = fleet.head("large");
    assertNotNull(head);
    return fleet.membersOf(head);
  }

  /** Returns the head of a group whose order to open was just sent and is executed later. */
  private String headWithLateOpening(long delayMillis) {
    final List<String> members = startedGroup();
    String domain = members.get(0).substring(0, 3);
    List<String> ids = fleet.ids().stream().filter(id -> id.startsWith(domain)).toList();
    ids.forEach(id -> fleet.delayOrder(id, FleetOrder.Kind.OPEN, delayMillis));
    fleet.crash(members.get(3));
    @Nullable String head = null;
    for (int i = 0; i < 200 && head == null; i++) {
      fleet.run(planner, 100, false);
      for (String id : ids) {
        head = fleet.isDelayPending(id, FleetOrder.Kind.OPEN) ? head : id;
      }
    }
    assertNotNull(head);
    return head;
  }

  private void runUntilLeft(String member) {
    for (int i = 0; i < 150 && !fleet.membersOf(member).isEmpty(); i++) {
      fleet.run(planner, 100, false);
    }
    assertTrue(fleet.membersOf(member).isEmpty(), "the members do not leave");
    fleet.run(200);
  }

  private FleetPlanner elect() {
    FleetPlanner next = newPlanner();
    next.startTerm(2, false, 4, fleet.now());
    return next;
  }
}
