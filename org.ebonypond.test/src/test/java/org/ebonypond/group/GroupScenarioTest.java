package org.ebonypond.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.ControlLoop;
import org.ebonypond.junit.FakeEngineFleet;
import org.junit.jupiter.api.Test;

class GroupScenarioTest {
  private static final long LOAD_MILLIS = 5_000;

  private final FakeEngineFleet fleet = new FakeEngineFleet();
  private final List<String> events = new ArrayList<>();
  private final EventSink sink =
      (code, subject, causes, fields) -> {
        events.add(code + " " + subject + " " + fields);
        return "";
      };

  private ControlLoop loop(Documents d) {
    ControlLoop loop =
        new ControlLoop(
            fleet, new ScoredPolicy(), PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT, 1, sink);
    loop.apply(d.version(1));
    return loop;
  }

  private static Documents oneModel(String version, int groups, String... zones) {
    return Documents.create(true).model("drafter", version, groups, 2, zones);
  }

  private static GroupRecord ready(ControlLoop loop) {
    List<GroupRecord> all = loop.groups("drafter", GroupState.READY);
    assertEquals(1, all.size(), () -> "groups: " + loop.view().groups());
    return all.get(0);
  }

  private static String member(GroupRecord g, int rank) {
    return g.members().get(rank).instance();
  }

  /**
   * Guards against a group that stays down after losing a member although the domain has a spare.
   */
  @Test
  void replacesLostMemberBySpareInTheDomain() {
    fleet.addZone("a", 2, 3, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(10_000);
    final GroupRecord before = ready(loop);
    fleet.get(member(before, 1)).stop();
    loop.run(2_700);
    assertEquals(0, loop.groups("drafter", GroupState.READY).size());
    loop.run(LOAD_MILLIS + 1_500);
    GroupRecord after = ready(loop);
    assertEquals(before.group(), after.group());
    assertEquals(member(before, 0), member(after, 0));
    assertNotEquals(member(before, 1), member(after, 1));
    assertTrue(loop.misloaded().isEmpty());
  }

  /** Guards against a repair that discards loaded members when a second one is lost. */
  @Test
  void keepsLoadedMembersAtSecondLossDuringRepair() {
    fleet.addZone("a", 1, 6, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(Documents.create(true).model("drafter", "1", 1, 4, "a"));
    loop.run(10_000);
    final GroupRecord before = ready(loop);
    fleet.get(member(before, 1)).stop();
    loop.run(4_000);
    GroupRecord repairing = loop.groups("drafter", GroupState.LOADING).get(0);
    fleet.get(member(repairing, 1)).stop();
    loop.run(LOAD_MILLIS + 5_000);
    GroupRecord after = ready(loop);
    assertEquals(before.group(), after.group());
    for (int rank : new int[] {0, 2, 3}) {
      assertEquals(before.members().get(rank), after.members().get(rank));
    }
  }

  /** Guards against two incomplete groups that both wait although merging them completes one. */
  @Test
  void completesOneGroupFromAnother() {
    fleet.addZone("a", 1, 4, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 2, "a"));
    loop.run(10_000);
    List<GroupRecord> all = loop.groups("drafter", GroupState.READY);
    assertEquals(2, all.size());
    fleet.get(member(all.get(0), 0)).stop();
    fleet.get(member(all.get(1), 0)).stop();
    loop.run(LOAD_MILLIS + 6_000);
    assertEquals(1, loop.groups("drafter", GroupState.READY).size());
    assertTrue(events.stream().anyMatch(e -> e.startsWith("GROUP_NOT_PLACED")));
  }

  /**
   * Guards against groups that stay down with an unreachable domain, and against instances that
   * serve in two groups when the domain is reachable again.
   */
  @Test
  void movesGroupsOutOfUnreachableDomainAndUnloadsItOnReturn() {
    fleet.addZone("a", 2, 4, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 2, "a"));
    loop.run(10_000);
    String unreachable = loop.groups("drafter", GroupState.READY).get(0).domain();
    fleet.setUnreachable(unreachable, true);
    loop.run(LOAD_MILLIS + 6_000);
    List<GroupRecord> moved = loop.groups("drafter", GroupState.READY);
    assertEquals(2, moved.size());
    assertTrue(moved.stream().noneMatch(g -> g.domain().equals(unreachable)));
    fleet.setUnreachable(unreachable, false);
    loop.run(70_000);
    assertEquals(moved, loop.groups("drafter", GroupState.READY));
    fleet.all().stream()
        .filter(e -> e.domain().equals(unreachable))
        .forEach(e -> assertEquals(EngineStatus.IDLE, e.state(loop.now()).status()));
  }

  /**
   * Guards against reloading the models when a zone returns although its engines kept them loaded.
   */
  @Test
  void resumesGroupsWhenZoneReturns() {
    fleet.addZone("a", 1, 2, "batcher", true, LOAD_MILLIS);
    fleet.addZone("b", 1, 2, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 1, "a", "b"));
    loop.run(10_000);
    assertEquals(2, loop.groups("drafter", GroupState.READY).size());
    loop.apply(new SetZone("a", true, "out"));
    assertEquals("b", ready(loop).zone());
    loop.run(60_000);
    assertEquals("b", ready(loop).zone());
    loop.apply(new SetZone("a", false, "in"));
    loop.run(2_000);
    assertEquals(2, loop.groups("drafter", GroupState.READY).size());
  }

  /** Guards against a flapping instance that takes a group down repeatedly. */
  @Test
  void quarantinesFlappingInstance() {
    fleet.addZone("a", 1, 3, "batcher", true, 1_000);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(5_000);
    String flapping = member(ready(loop), 0);
    for (int i = 0; i < 6; i++) {
      fleet.get(flapping).restart();
      loop.run(4_000);
    }
    GroupRecord g = ready(loop);
    assertFalse(g.hasMember(flapping));
    fleet.get(member(g, 0)).stop();
    loop.run(8_000);
    assertEquals(0, loop.groups("drafter", GroupState.READY).size(), "quarantine was ignored");
    loop.run(400_000);
    assertTrue(ready(loop).hasMember(flapping), "the instance never returned from quarantine");
  }

  /** Guards against a returning member that resumes its old rank with an old fencing number. */
  @Test
  void unreachableMemberThatReturnsDoesNotRejoinByItself() {
    fleet.addZone("a", 1, 3, "batcher", false, LOAD_MILLIS);
    ControlLoop loop = loop(Documents.create(false).model("drafter", "1", 1, 2, "a"));
    loop.run(14_000);
    String unreachable = member(ready(loop), 0);
    fleet.setUnreachable(unreachable, true);
    loop.run(LOAD_MILLIS + 5_000);
    GroupRecord repaired = ready(loop);
    assertFalse(repaired.hasMember(unreachable));
    fleet.setUnreachable(unreachable, false);
    loop.run(70_000);
    assertEquals(repaired, ready(loop));
    assertEquals(InstanceStatus.UP, loop.view().instances().get(unreachable).status());
    assertEquals(EngineStatus.IDLE, fleet.get(unreachable).state(loop.now()).status());
  }

  /** Guards against a group that stays down although its missing member was only unreachable. */
  @Test
  void readmitsReturningMemberWithoutSpare() {
    fleet.addZone("a", 1, 2, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(10_000);
    final GroupRecord before = ready(loop);
    fleet.setUnreachable(member(before, 1), true);
    loop.run(10_000);
    assertEquals(1, loop.groups("drafter", GroupState.DOWN).size());
    fleet.setUnreachable(member(before, 1), false);
    loop.run(2_000);
    assertEquals(before.group(), ready(loop).group());
    assertTrue(loop.misloaded().isEmpty());
  }

  /** Guards against partial groups and unfair placement when more groups are declared than fit. */
  @Test
  void placesWholeGroupsFairlyWhenNotAllFit() {
    fleet.addZone("a", 1, 5, "batcher", true, LOAD_MILLIS);
    fleet.addZone("b", 1, 5, "batcher", true, LOAD_MILLIS);
    ControlLoop loop =
        loop(
            Documents.create(true)
                .model("drafter", "1", 4, 2, "a", "b")
                .model("ledger", "1", 4, 2, "a", "b"));
    loop.run(10_000);
    assertEquals(2, loop.groups("drafter", GroupState.READY).size());
    assertEquals(2, loop.groups("ledger", GroupState.READY).size());
    assertEquals(4, loop.view().groups().size());
    List<String> reports = events.stream().filter(e -> e.startsWith("GROUP_NOT_PLACED")).toList();
    assertEquals(4, reports.stream().filter(e -> e.contains("missing=3")).count());
    assertEquals(reports.size(), reports.stream().distinct().count(), "a report was repeated");
    assertEquals(2, StrandedInstances.count(loop.view()));
  }

  /** Guards against a model that never gets a group because earlier models use all instances. */
  @Test
  void preemptsGroupOfModelThatKeepsOthers() {
    fleet.addZone("a", 1, 4, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 2, "a"));
    loop.run(10_000);
    loop.apply(oneModel("1", 2, "a").model("ledger", "1", 1, 2, "a").version(2));
    loop.run(LOAD_MILLIS + 45_000);
    assertEquals(1, loop.groups("ledger", GroupState.READY).size());
    assertEquals(1, loop.groups("drafter", GroupState.READY).size());
  }

  /** Guards against downtime during a version change although there are enough spares. */
  @Test
  void changesVersionWithoutGapWhenSparesAllow() {
    fleet.addZone("a", 2, 2, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(10_000);
    loop.apply(oneModel("2", 1, "a").version(2));
    for (int i = 0; i < 600; i++) {
      loop.run(ControlLoop.TICK_MILLIS);
      assertEquals(0, loop.missing(), "service gap");
    }
    assertEquals("2", ready(loop).version());
    assertEquals(1, loop.view().groups().size());
  }

  /** Guards against a version change without spares that stops all groups at once. */
  @Test
  void changesVersionOneGroupAfterAnotherWithoutSpares() {
    fleet.addZone("a", 1, 6, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 3, "a"));
    loop.run(12_000);
    loop.apply(oneModel("2", 3, "a").version(2));
    for (int i = 0; i < 1_500; i++) {
      loop.run(ControlLoop.TICK_MILLIS);
      assertTrue(loop.missing() <= 1, "more than one group is missing");
    }
    assertEquals(3, loop.groups("drafter", GroupState.READY).size());
    assertTrue(
        loop.view().groups().values().stream().allMatch(g -> g.version().equals("2")),
        () -> loop.view().groups().toString());
  }

  /** Guards against a leaving backend server that still receives new work after 5 s. */
  @Test
  void replacesGroupOfLeavingMember() {
    fleet.addZone("a", 2, 2, "batcher", true, 1_000);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(5_000);
    final GroupRecord before = ready(loop);
    fleet.get(member(before, 1)).leave();
    for (int i = 0; i < 50; i++) {
      loop.run(ControlLoop.TICK_MILLIS);
      assertEquals(0, loop.missing(), "service gap");
    }
    assertNotEquals(before.group(), ready(loop).group());
    fleet.all().forEach(e -> fleet.get(e.name()).leave());
    loop.run(4_000);
    assertEquals(0, loop.groups("drafter", GroupState.READY).size());
  }

  /** Guards against lost proposals, orders or answers that are never retried. */
  @Test
  void retriesLostProposalsOrdersAndAnswers() {
    fleet.addZone("a", 2, 4, "batcher", false, LOAD_MILLIS);
    ControlLoop loop = loop(Documents.create(false).model("drafter", "1", 3, 2, "a"));
    loop.setLossPercent(30);
    loop.run(90_000);
    assertEquals(3, loop.groups("drafter", GroupState.READY).size());
    assertTrue(loop.misloaded().isEmpty());
  }

  /** Guards against a newly elected or resumed leader that declares every instance down. */
  @Test
  void keepsInstancesUpAfterElectionAndFreeze() {
    fleet.addZone("a", 1, 4, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 2, "a"));
    loop.run(10_000);
    loop.setFrozen(true);
    loop.run(30_000);
    loop.setFrozen(false);
    loop.run(5_000);
    loop.setFrozen(true);
    loop.run(30_000);
    loop.elect(SchedulerSettings.DEFAULT);
    loop.run(5_000);
    assertTrue(loop.log().stream().noneMatch(c -> c instanceof ControlCommand.InstanceDown));
    fleet.all().iterator().next().stop();
    loop.run(3_000);
    assertTrue(loop.log().stream().anyMatch(c -> c instanceof ControlCommand.InstanceDown));
  }

  /**
   * Guards against an engine that unloaded its model without a restart and still counts as ready.
   */
  @Test
  void takesGroupOutOfServiceWhenEngineLostItsModel() {
    fleet.addZone("a", 1, 2, "batcher", false, LOAD_MILLIS);
    ControlLoop loop = loop(Documents.create(false).model("drafter", "1", 1, 2, "a"));
    loop.run(14_000);
    GroupRecord g = ready(loop);
    fleet
        .get(member(g, 0))
        .order(
            new EngineOrder(1, EngineOrder.Type.UNLOAD, "", "", List.of(), "", -1, List.of()),
            loop.now());
    loop.run(1_500);
    assertEquals(0, loop.groups("drafter", GroupState.READY).size());
    loop.run(LOAD_MILLIS + 4_000);
    assertTrue(ready(loop).epoch() > g.epoch());
  }

  /** Guards against a proposal that is repeated while its result is pending. */
  @Test
  void proposesNoChangeTwiceWhilePending() {
    fleet.addZone("a", 1, 4, "batcher", true, LOAD_MILLIS);
    ControlLoop loop = loop(oneModel("1", 1, "a"));
    loop.run(10_000);
    final GroupRecord g = ready(loop);
    fleet.get(member(g, 1)).stop();
    loop.setFrozen(true);
    loop.apply(new ControlCommand.InstanceDown(member(g, 1), g.members().get(1).boot(), "test"));
    GroupPlanner planner =
        new GroupPlanner(new ScoredPolicy(), PlannerSettings.DEFAULT, EventSink.NONE);
    List<Proposal> first = planner.plan(loop.view(), Map.of(), 0);
    assertEquals(1, first.size());
    ReplaceMember r = (ReplaceMember) first.get(0).command();
    assertEquals(member(g, 1), r.out());
    assertTrue(planner.plan(loop.view(), Map.of(), 1_000).isEmpty());
    planner.resolved(r);
    assertEquals(first, planner.plan(loop.view(), Map.of(), 2_000));
    GroupMember in = r.in();
    assertFalse(g.hasMember(in.instance()));
  }
}
