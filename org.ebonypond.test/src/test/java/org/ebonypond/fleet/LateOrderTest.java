package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Orders without an answer that are executed after the group that they form has been given up. The
 * fleet has just enough instances for another group after one has left.
 */
class LateOrderTest {
  /**
   * The longest time after which an order without an answer is executed, in milliseconds: 12 s
   * after it has arrived, which it does before its sender gives it up.
   */
  private static final long MAX_LATE_MILLIS = FleetOrder.TIMEOUT_MILLIS + 12_000;

  /** Within this time the rest of a group serves again if nothing holds it back, in ms. */
  private static final long REGROUP_MILLIS = 5_000;

  private static final long STEP_MILLIS = 100;

  private FleetPlanner planner = newPlanner();

  private static FleetPlanner newPlanner() {
    return new FleetPlanner(
        2 * FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.HEARTBEAT_MILLIS + 400,
        FakeFleet.STALL_MILLIS,
        new WeightLoadLimiter(5_000));
  }

  /** What ends the group. */
  enum Ending {
    DRAIN,
    CRASH
  }

  static Stream<Arguments> endings() {
    return Stream.of(Ending.values())
        .flatMap(e -> Stream.of(2, 4).map(size -> Arguments.of(e, size)));
  }

  /** A group whose head has not answered some of the orders that formed it. */
  private final class Group {
    final FakeFleet fleet;
    private final List<GroupDecision> decisions = new ArrayList<>();

    /** The kinds of orders of which the first one that forms the group is still to be lost. */
    private final Set<FleetOrder.Kind> lost;

    private List<String> members = List.of();
    private long epoch;
    private boolean losesFirstLeave;
    private boolean losesLaterOrders = true;

    /** Whether the last member loses orders in place of the head. */
    private boolean losesOrdersOfLast;

    /** Whether the head was ordered to leave. */
    private boolean hasLeft;

    private boolean hasReopened;
    private boolean isNextJoinLost;
    private boolean isLastOrderedAway;

    /** When the first of the lost orders was sent, in milliseconds; -1 before. */
    private long firstLostAt = -1;

    /** The same for the last of those that form the group. */
    private long lastLostAt;

    Group(int size, FleetOrder.Kind... lost) {
      this.lost = EnumSet.noneOf(FleetOrder.Kind.class);
      this.lost.addAll(List.of(lost));
      EngineProfile engine =
          new EngineProfile(
              18,
              969_230,
              6.07,
              0.348,
              0.007,
              46_000,
              5,
              4,
              300,
              List.of(new ModelProfile("only", size, 1, 1, 1_600, 1_600)));
      fleet = new FakeFleet(engine, 1, size + 1, 1);
      fleet.setUnanswered(this::isLost);
    }

    private boolean isLost(FleetOrder o) {
      if (o.kind() == FleetOrder.Kind.JOIN && members.isEmpty()) {
        members = o.members();
        epoch = o.epoch();
      }
      if (members.isEmpty()) {
        return false;
      }
      isLastOrderedAway |=
          o.kind() == FleetOrder.Kind.JOIN
              && o.epoch() != epoch
              && o.instance().equals(lastMember());
      return losesOrdersOfLast ? isLostAtLast(o) : o.instance().equals(head()) && isLostAtHead(o);
    }

    /** The first join of the last member is lost, and every order to leave. */
    private boolean isLostAtLast(FleetOrder o) {
      return o.kind() == FleetOrder.Kind.LEAVE
          || (o.instance().equals(lastMember()) && isLostWhenFormed(o));
    }

    /**
     * Some of the orders that form the group are lost; later, every order to leave but the first,
     * and those to join another group until the head has opened this one again.
     */
    private boolean isLostAtHead(FleetOrder o) {
      boolean isLater = hasLeft && losesLaterOrders;
      switch (o.kind()) {
        case LEAVE -> {
          boolean isFirst = !hasLeft;
          hasLeft = true;
          return isFirst ? losesFirstLeave : isLater;
        }
        case JOIN -> {
          boolean isNext = isLater && !hasReopened;
          isNextJoinLost |= isNext;
          return isNext || isLostWhenFormed(o);
        }
        default -> {
          return isLostWhenFormed(o);
        }
      }
    }

    private boolean isLostWhenFormed(FleetOrder o) {
      boolean isLost = o.epoch() == epoch && lost.remove(o.kind());
      if (isLost) {
        firstLostAt = firstLostAt < 0 ? fleet.now() : firstLostAt;
        lastLostAt = fleet.now();
      }
      return isLost;
    }

    String head() {
      return members.get(0);
    }

    String lastMember() {
      return members.get(members.size() - 1);
    }

    void open() {
      planner.startTerm(1, true, 4, 0);
      run(() -> members.isEmpty() || !fleet.serves(head()));
    }

    /** Ends the group; returns once its head has left it. */
    void end(Ending e) {
      loseMember(e);
      run(() -> !fleet.membersOf(head()).isEmpty());
    }

    private void loseMember(Ending e) {
      if (e == Ending.DRAIN) {
        fleet.drain(lastMember());
      } else {
        fleet.crash(lastMember());
      }
    }

    /**
     * Ends the group by an order of a leader that has been replaced when it is executed.
     *
     * @param e what makes the leader give up the group
     */
    void endByReplacedLeader(Ending e) {
      losesFirstLeave = true;
      loseMember(e);
      run(() -> !hasLeft);
      // A new leader lets instances wait that it first hears of, unless they have just started.
      fleet.ids().stream().filter(id -> !members.contains(id)).forEach(fleet::restart);
      planner = newPlanner();
      planner.startTerm(2, false, 4, fleet.now());
      advance(1_000);
      fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.LEAVE && o.fencing() == 1);
      advance(300);
      assertEquals(List.of(), fleet.membersOf(head()));
    }

    /** Executes the late orders, so that the head opens the group again. */
    void reopen() {
      fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN && o.epoch() == epoch);
      advance(300);
      fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.OPEN);
      advance(400);
      assertEquals(members, fleet.membersOf(head()));
      hasReopened = true;
    }

    void run(BooleanSupplier condition) {
      long end = fleet.now() + 60_000;
      while (condition.getAsBoolean()) {
        assertTrue(fleet.now() < end, "the group does not change");
        advance(STEP_MILLIS);
      }
    }

    <T extends GroupDecision> List<T> decisions(Class<T> type) {
      return decisions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    void advance(long millis) {
      for (long left = millis; left > 0; left -= STEP_MILLIS) {
        fleet.run(planner, STEP_MILLIS, false);
        decisions.addAll(planner.decisions());
      }
    }

    /** Advances the time until another group serves; returns how long that took, in ms. */
    long awaitNextGroup() {
      final long since = fleet.now();
      run(
          () -> {
            String h = fleet.head("only");
            return h == null || !fleet.serves(h) || epochOf(h) == epoch;
          });
      return fleet.now() - since;
    }

    private long epochOf(String id) {
      FleetInstance i = fleet.table().get(id);
      assertNotNull(i);
      GroupMembership g = i.group();
      return g == null ? 0 : g.epoch();
    }
  }

  private Group openedGroup(int size, FleetOrder.Kind... lost) {
    Group g = new Group(size, lost);
    g.open();
    return g;
  }

  /**
   * Guards against members that are given away while late orders may open their group again; its
   * head then takes the repeated order to join the next one.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void membersWaitWhileLateOrdersMayReopenTheirGroup(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(e);
    g.advance(1_500);
    g.reopen();
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against a first order to join the next group that is executed once late orders have
   * opened the old group again.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void lateJoinOfNextGroupIsNotExecutedInReopenedOne(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(e);
    g.advance(1_500);
    g.reopen();
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against a group whose members stay unused because its head, which has opened it again,
   * does not answer the orders to leave.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void membersOfReopenedGroupServeAgain(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(e);
    g.advance(1_500);
    g.reopen();
    g.awaitNextGroup();
    long late = g.fleet.now() - g.lastLostAt - MAX_LATE_MILLIS;
    assertTrue(late <= REGROUP_MILLIS, "serves " + late + " ms after the last late order");
    assertEquals(List.of(), g.fleet.violations());
  }

  /** Guards against members that wait for longer than the orders of their head may be late. */
  @ParameterizedTest
  @MethodSource("endings")
  void membersWaitNoLongerThanOrdersMayBeLate(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.losesLaterOrders = false;
    g.end(e);
    g.awaitNextGroup();
    long late = g.fleet.now() - g.firstLostAt - MAX_LATE_MILLIS;
    assertTrue(late <= REGROUP_MILLIS, "serves " + late + " ms after the first late order");
  }

  /**
   * Guards against members that wait although their head has answered one of the two orders that
   * open the group again only together.
   */
  @ParameterizedTest
  @EnumSource(
      value = FleetOrder.Kind.class,
      names = {"JOIN", "OPEN"})
  void oneUnansweredOrderHoldsNoMemberBack(FleetOrder.Kind lost) {
    for (int size : new int[] {2, 4}) {
      Group g = openedGroup(size, lost);
      g.losesLaterOrders = false;
      g.end(Ending.DRAIN);
      long took = g.awaitNextGroup();
      assertTrue(took <= REGROUP_MILLIS, "serves after " + took + " ms");
    }
  }

  /** Guards against a log that does not tell why the rest of a group waits. */
  @Test
  void heldGroupIsReportedOnceWithTheAgeOfItsOrders() {
    Group g = openedGroup(4, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.losesLaterOrders = false;
    g.end(Ending.DRAIN);
    g.advance(5_000);
    List<GroupDecision.Held> held = g.decisions(GroupDecision.Held.class);
    assertEquals(1, held.size(), held.toString());
    GroupDecision.Held h = held.get(0);
    assertEquals(g.epoch, h.epoch());
    assertEquals(g.head(), h.head().id());
    assertEquals("LEFT", h.head().state());
    assertTrue(h.openMillis() > 0 && h.joinMillis() > h.openMillis(), h.toString());
    assertEquals(MAX_LATE_MILLIS - h.joinMillis(), h.leftMillis());
  }

  /** Guards against a log that does not tell which order was executed late. */
  @Test
  void returnOfHeadIsReportedWithTheAgeOfItsOrders() {
    Group g = openedGroup(4, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(Ending.DRAIN);
    g.advance(1_500);
    g.reopen();
    List<GroupDecision.Returned> returned = g.decisions(GroupDecision.Returned.class);
    assertEquals(1, returned.size(), returned.toString());
    GroupDecision.Returned r = returned.get(0);
    assertEquals(g.head(), r.instance());
    assertEquals(g.epoch, r.epoch());
    assertTrue(r.leftMillis() >= 1_400, r.toString());
    assertTrue(r.openMillis() > r.leftMillis() && r.joinMillis() > r.openMillis(), r.toString());
  }

  /**
   * Guards against an order to join another group that is repeated to a head which has opened its
   * old group again, here by orders that are later than any that are waited for.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void joinIsNotRepeatedToHeadThatServesAgain(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(e);
    g.run(() -> !g.isNextJoinLost);
    g.reopen();
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against members that are given away while the head may execute the orders of an earlier
   * leader, which the present one does not know of.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void membersWaitWhileOrdersOfAnEarlierLeaderMayReopenTheirGroup(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.endByReplacedLeader(e);
    g.reopen();
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against members that wait after a change of the leader although their head has answered
   * the new one, and rejects the orders of earlier ones since.
   */
  @ParameterizedTest
  @MethodSource("endings")
  void membersServeAgainOnceTheirHeadHasAnsweredTheNewLeader(Ending e, int size) {
    Group g = openedGroup(size, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.endByReplacedLeader(e);
    g.losesLaterOrders = false;
    long took = g.awaitNextGroup();
    assertTrue(took <= REGROUP_MILLIS, "serves after " + took + " ms");
    g.fleet.executeWithheld(o -> true);
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against a member that is ordered into another group after a restart, although a late
   * order may make it join the one whose head still serves.
   */
  @Test
  void restartedMemberWaitsWhileItMayJoinItsGroupAgain() {
    Group g = new Group(2, FleetOrder.Kind.JOIN);
    g.losesOrdersOfLast = true;
    g.open();
    g.fleet.restart(g.lastMember());
    for (int i = 0; i < 30 && !g.isLastOrderedAway; i++) {
      g.advance(STEP_MILLIS);
    }
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(5_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against members that are given away when the head's last report is older than its
   * unanswered order, which has been on its way until its sender gave it up.
   */
  @Test
  void membersWaitForOrderThatArrivedLate() {
    Group g = openedGroup(4, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(Ending.DRAIN);
    g.advance(g.firstLostAt + MAX_LATE_MILLIS - STEP_MILLIS - g.fleet.now());
    g.reopen();
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(15_000);
    assertEquals(List.of(), g.fleet.violations());
  }

  /**
   * Guards against members that are given away because of a heartbeat of the head that arrives
   * after the last moment at which it may join the group again, but was sent before.
   */
  @Test
  void heartbeatSentBeforeTheLateOrderDoesNotEndTheWait() {
    Group g = openedGroup(4, FleetOrder.Kind.JOIN, FleetOrder.Kind.OPEN);
    g.end(Ending.DRAIN);
    g.advance(g.firstLostAt + MAX_LATE_MILLIS - 2 * STEP_MILLIS - g.fleet.now());
    FleetInstance outside = g.fleet.table().get(g.head());
    assertNotNull(outside);
    g.fleet.setCutOff(g.head(), true);
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(3 * STEP_MILLIS);
    FleetInstance late = outside.withSequence(outside.sequence() + 1);
    g.fleet.table().merge(late, 0, g.fleet.now());
    g.fleet.setCutOff(g.head(), false);
    g.advance(2 * STEP_MILLIS);
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.OPEN);
    g.advance(4 * STEP_MILLIS);
    assertEquals(g.members, g.fleet.membersOf(g.head()));
    g.fleet.executeWithheld(o -> o.kind() == FleetOrder.Kind.JOIN);
    g.advance(5_000);
    assertEquals(List.of(), g.fleet.violations());
  }
}
