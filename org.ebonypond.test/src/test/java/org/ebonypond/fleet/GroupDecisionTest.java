package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.junit.FakeFleet;
import org.junit.jupiter.api.Test;

/** The decisions that a planner reports, and what it names as their reasons. */
class GroupDecisionTest {
  private static final long ROUND_MILLIS = 100;
  private static final int DOMAINS = 6;
  private static final int PER_DOMAIN = 8;

  private final FakeFleet fleet = new FakeFleet(FakeFleet.twoModels(), DOMAINS, PER_DOMAIN, 1);
  private final FleetPlanner planner =
      new FleetPlanner(
          2 * FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.STALL_MILLIS,
          new WeightLoadLimiter(5_000));

  private List<GroupDecision> start() {
    planner.startTerm(1, true, 4, 0);
    return run(50_000, true);
  }

  /** Advances the time; returns the decisions of all rounds. */
  private List<GroupDecision> run(long millis, boolean beforeTraffic) {
    List<GroupDecision> out = new ArrayList<>();
    for (long i = 0; i < millis; i += ROUND_MILLIS) {
      fleet.run(planner, ROUND_MILLIS, beforeTraffic);
      out.addAll(planner.decisions());
    }
    return out;
  }

  private List<String> largeGroup() {
    String head = fleet.head("large");
    assertNotNull(head);
    return fleet.membersOf(head);
  }

  private GroupMembership membership(String id) {
    FleetInstance i = fleet.table().get(id);
    assertNotNull(i);
    GroupMembership g = i.group();
    assertNotNull(g);
    return g;
  }

  private static <T extends GroupDecision> List<T> of(Class<T> type, List<GroupDecision> all) {
    return all.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static List<GroupDecision.GivenUp> givenUp(GroupMembership g, List<GroupDecision> all) {
    return of(GroupDecision.GivenUp.class, all).stream()
        .filter(d -> d.group().equals(g.name()) && d.epoch() == g.epoch())
        .toList();
  }

  private static List<GroupDecision.Taken> takenFrom(GroupMembership g, List<GroupDecision> all) {
    return of(GroupDecision.Taken.class, all).stream()
        .filter(d -> d.oldGroup().equals(g.name()) && d.oldEpoch() == g.epoch())
        .toList();
  }

  /** Guards against a first join that is logged again with each repeated order. */
  @Test
  void instancesOfTheFirstGroupsWereInNoneAndAreReportedOnce() {
    fleet.setLostAnswerRate(0.2);
    List<GroupDecision> all = start();
    Set<String> joins = new HashSet<>();
    for (GroupDecision.Taken t : of(GroupDecision.Taken.class, all)) {
      assertTrue(joins.add(t.instance() + "/" + t.epoch()), t.toString());
    }
    for (String id : fleet.ids()) {
      GroupDecision.Taken first =
          of(GroupDecision.Taken.class, all).stream()
              .filter(t -> t.instance().equals(id))
              .findFirst()
              .orElseThrow();
      assertEquals(FreeEvidence.NEVER_IN_GROUP, first.evidence());
      assertEquals("", first.oldGroup());
      assertEquals(new GroupDecision.Head("", "UNKNOWN", -1), first.oldHead());
    }
    List<GroupDecision.TermStarted> terms = of(GroupDecision.TermStarted.class, all);
    assertEquals(1, terms.size());
    assertEquals(DOMAINS * PER_DOMAIN, terms.get(0).instances());
    assertEquals(0, terms.get(0).inGroups());
  }

  /** Guards against a group given up whose log names neither the member nor the head's report. */
  @Test
  void lostMemberAndReportOfTheHeadAreNamed() {
    start();
    final List<String> members = largeGroup();
    final GroupMembership g = membership(members.get(0));
    fleet.crash(members.get(3));
    List<GroupDecision> all = run(5_000, false);

    List<GroupDecision.GivenUp> given = givenUp(g, all);
    GroupDecision.GivenUp first = given.get(0);
    assertEquals(GiveUpReason.MEMBER_SILENT, first.cause().reason());
    assertEquals(members.get(3), first.cause().member());
    assertTrue(first.cause().millis() > FakeFleet.HEARTBEAT_MILLIS + 400, first.toString());
    assertEquals(members.get(0), first.head().id());
    assertEquals("OPEN", first.head().state());
    assertTrue(first.head().ageMillis() <= FakeFleet.HEARTBEAT_MILLIS, first.toString());
    assertEquals(given.size(), given.stream().map(d -> d.cause().reason()).distinct().count());

    List<GroupDecision.Taken> taken = takenFrom(g, all);
    assertTrue(taken.stream().anyMatch(t -> t.leftMillis() == 0), taken.toString());
    for (GroupDecision.Taken t : taken) {
      assertEquals(members.get(0), t.oldHead().id());
      assertEquals(FreeEvidence.HEAD_REPORTED_LEFT, t.evidence(), t.toString());
      assertEquals("LEFT", t.oldHead().state(), t.toString());
    }
  }

  /** Guards against an answer of the head that the log does not tell from its report. */
  @Test
  void answerOfTheHeadIsNamed() {
    start();
    final List<String> members = largeGroup();
    final GroupMembership g = membership(members.get(0));
    FleetOrder leave =
        new FleetOrder(
            FleetOrder.Kind.LEAVE, members.get(0), "", g.name(), g.epoch(), "", List.of(), 1);
    planner.answered(leave, OrderOutcome.HOLDS, fleet.now());
    List<GroupDecision> all = run(1_000, false);

    GroupDecision.GivenUp first = givenUp(g, all).get(0);
    assertEquals(GiveUpReason.HEAD_ANSWERED_LEAVE, first.cause().reason());
    assertEquals(OrderOutcome.HOLDS, first.cause().outcome());
    assertEquals("OPEN", first.head().state());
    List<GroupDecision.Taken> taken = takenFrom(g, all);
    assertFalse(taken.isEmpty());
    for (GroupDecision.Taken t : taken) {
      assertEquals(FreeEvidence.HEAD_ANSWERED_LEAVE, t.evidence(), t.toString());
      assertEquals(OrderOutcome.HOLDS, t.outcome());
      assertEquals(members.get(0), t.oldHead().id());
      assertEquals("OPEN", t.oldHead().state());
    }
  }

  /** Guards against a wait that the log does not tell from an answer of the head. */
  @Test
  void membersOfLostHeadHaveWaited() {
    start();
    final List<String> members = largeGroup();
    final GroupMembership g = membership(members.get(0));
    fleet.crash(members.get(0));
    List<GroupDecision> all = run(30_000, false);

    GroupDecision.GivenUp first = givenUp(g, all).get(0);
    assertEquals(members.get(0), first.head().id());
    List<GroupDecision.Taken> taken = takenFrom(g, all);
    assertFalse(taken.isEmpty());
    for (GroupDecision.Taken t : taken) {
      assertEquals(FreeEvidence.WAITED_AFTER_LEAVE, t.evidence(), t.toString());
      assertTrue(t.waitedMillis() >= FakeFleet.STALL_MILLIS, t.toString());
      assertEquals(members.get(0), t.oldHead().id());
      assertEquals("OPEN", t.oldHead().state());
      assertTrue(t.oldHead().ageMillis() >= FakeFleet.STALL_MILLIS, t.toString());
    }
  }

  /** Guards against a new leader whose log does not say that it knows nothing of the old group. */
  @Test
  void memberThatLeftBeforeTheTermHasWaitedSinceItsStart() {
    start();
    final List<String> members = largeGroup();
    fleet.crash(members.get(0));
    run(4_500, false);
    assertEquals(List.of(), fleet.membersOf(members.get(1)));
    planner.startTerm(2, false, 4, fleet.now());
    List<GroupDecision> all = run(15_000, false);

    List<GroupDecision.TermStarted> terms = of(GroupDecision.TermStarted.class, all);
    assertEquals(1, terms.size());
    assertEquals(2, terms.get(0).term());
    assertTrue(terms.get(0).inGroups() > 0, terms.toString());
    assertTrue(terms.get(0).oldestMillis() >= 4_500, terms.toString());
    assertTrue(terms.get(0).medianMillis() <= FakeFleet.HEARTBEAT_MILLIS, terms.toString());
    GroupDecision.Taken t =
        of(GroupDecision.Taken.class, all).stream()
            .filter(d -> d.instance().equals(members.get(1)))
            .findFirst()
            .orElseThrow();
    assertEquals(FreeEvidence.WAITED_IN_TERM, t.evidence());
    assertEquals("", t.oldGroup());
    assertTrue(t.waitedMillis() >= FakeFleet.STALL_MILLIS, t.toString());
  }

  /** Guards against a group that is closed for a member whose name the log does not give. */
  @Test
  void drainingMemberIsNamed() {
    start();
    final List<String> members = largeGroup();
    final GroupMembership g = membership(members.get(0));
    fleet.drain(members.get(3));
    GroupDecision.GivenUp first = givenUp(g, run(5_000, false)).get(0);
    assertEquals(GiveUpReason.MEMBER_DRAINING, first.cause().reason());
    assertEquals(members.get(3), first.cause().member());
  }

  /** Guards against decisions that pile up, or are reported in each round, while members fail. */
  @Test
  void decisionsOfOneRoundAreBounded() {
    start();
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      String member = largeGroup().get(3);
      fleet.crash(member);
      for (int k = 0; k < 60; k++) {
        fleet.run(planner, ROUND_MILLIS, false);
        List<GroupDecision> decisions = planner.decisions();
        assertTrue(decisions.size() <= 2 * DOMAINS * PER_DOMAIN, decisions.toString());
        for (GroupDecision.GivenUp d : of(GroupDecision.GivenUp.class, decisions)) {
          assertTrue(seen.add(d.group() + "/" + d.cause().reason()), d.toString());
        }
      }
      fleet.restart(member);
    }
    assertFalse(seen.isEmpty());
  }
}
