package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.GroupMembership;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.MemberState;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.serving.EngineProfile;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class TargetSelectorTest {
  private static final EngineProfile ENGINE = FakeFleet.twoModels();
  private static final EngineCost COST = new EngineCost(ENGINE);

  private final TargetSelector selector = new TargetSelector("z", new Random(1));

  private static FleetInstance head(String id) {
    return head(id, "z");
  }

  private static FleetInstance head(String id, String zone) {
    return new FleetInstance(
        id,
        1,
        1,
        "s",
        "10.0.0.1:1",
        zone,
        InstancePhase.READY,
        18,
        0,
        "d",
        List.of("large"),
        List.of(),
        new GroupMembership("large.4.1", 1, 0, MemberState.OPEN),
        "large");
  }

  private static TargetSelector.Candidate candidate(
      String id, int active, @Nullable InstanceLoad loadOfOthers) {
    InstanceStats s = new InstanceStats(() -> 0);
    for (int i = 0; i < active; i++) {
      s.started(0, false);
    }
    s.progressed();
    return new TargetSelector.Candidate(head(id), s, loadOfOthers, false);
  }

  private static TargetSelector.Need need(long remaining, Set<String> tried) {
    return new TargetSelector.Need(
        ENGINE.model("large"), 1_400, 135, remaining, 500, 500, false, tried);
  }

  /** Returns the requirements of a request that has already waited for the given time. */
  private static TargetSelector.Need needAfter(long waited) {
    return new TargetSelector.Need(
        ENGINE.model("large"), 1_400, 135, 8_000 - waited, 500 - waited, 500, false, Set.of());
  }

  private String chosen(TargetSelector.Selection d) {
    return Objects.requireNonNull(d.target()).id();
  }

  /** Guards against requests that wait at a busy group while another group is less loaded. */
  @Test
  void selectsTheLessLoadedGroup() {
    InstanceLoad busy = new InstanceLoad("a", 1, 14, 8_000, 20, 0);
    List<TargetSelector.Candidate> c = List.of(candidate("a", 0, busy), candidate("b", 4, null));
    assertEquals("b", chosen(selector.choose(need(8_000, Set.of()), c, COST, 1, 0)));
  }

  /** Guards against requests to a group at which no entry sees progress. */
  @Test
  void skipsGroupsThatOthersReportAsStalled() {
    InstanceLoad stalled = new InstanceLoad("a", 1, 0, 0, InstanceLoad.NEVER, 900);
    List<TargetSelector.Candidate> c =
        List.of(candidate("a", 0, stalled), candidate("b", 10, null));
    assertEquals("b", chosen(selector.choose(need(8_000, Set.of()), c, COST, 1, 0)));
  }

  /** Guards against groups that are avoided because a caller reads its answer slowly. */
  @Test
  void doesNotSkipGroupWhoseOnlyAnswerIsNotRead() {
    AtomicLong now = new AtomicLong();
    InstanceStats unread = new InstanceStats(now::get);
    unread.started(0, false);
    unread.progressed();
    unread.paused();
    now.set(5_000);
    List<TargetSelector.Candidate> c =
        List.of(
            new TargetSelector.Candidate(head("a"), unread, null, false), candidate("b", 10, null));
    assertEquals("a", chosen(selector.choose(need(8_000, Set.of()), c, COST, 1, 5_000)));
  }

  /**
   * Guards against a silent stream that stays where it is although another group has a free slot,
   * because the group with the best prediction is full.
   */
  @Test
  void secondAttemptTakesTheFreeSlotOfAnyGroup() {
    InstanceStats nearlyFull = candidate("b", 17, null).stats();
    List<TargetSelector.Candidate> c =
        List.of(
            candidate("a", 18, null),
            new TargetSelector.Candidate(head("b", "other"), nearlyFull, null, false));
    TargetSelector.Need second =
        new TargetSelector.Need(
            ENGINE.model("large"), 1_400, 135, 8_000, 8_000, 500, true, Set.of());
    assertEquals("b", chosen(selector.choose(second, c, COST, 1, 0)));
  }

  /** Guards against requests that wait although they cannot end before their deadline. */
  @Test
  void refusesRequestsThatCannotEndBeforeTheirDeadline() {
    List<TargetSelector.Candidate> c = List.of(candidate("a", 18, null));
    TargetSelector.Selection d = selector.choose(need(300, Set.of()), c, COST, 1, 0);
    assertNull(d.target());
    assertEquals("no-time", d.reason());
  }

  /** Guards against a burst that is admitted entirely and makes every request late. */
  @Test
  void burstIsLimitedToWhatCanBeServedOnTime() {
    List<TargetSelector.Candidate> c = new ArrayList<>();
    c.add(candidate("a", 0, null));
    int admitted = 0;
    for (int i = 0; i < 200; i++) {
      TargetSelector.Selection d = selector.choose(need(8_000, Set.of()), c, COST, 1, 0);
      if (d.target() != null) {
        admitted++;
        c.get(0).stats().started(1_400, false);
      }
    }
    assertTrue(admitted >= 12 && admitted <= 26, admitted + " admitted");
  }

  /** Guards against a late request that precedes one that can be on time. */
  @Test
  void lateRequestsAreLessUrgent() {
    List<TargetSelector.Candidate> idle = List.of(candidate("a", 1, null));
    TargetSelector.Selection first = selector.choose(need(8_000, Set.of()), idle, COST, 1, 0);
    TargetSelector.Selection late = selector.choose(needAfter(1_600), idle, COST, 1, 0);
    assertNotNull(late.target());
    assertTrue(first.urgency() < late.urgency());
  }

  /** Guards against retries after a failure that make all other requests late as well. */
  @Test
  void lateRequestsDoNotTakeTheLastSlots() {
    List<TargetSelector.Candidate> busy = List.of(candidate("b", 14, null));
    TargetSelector.Selection late = selector.choose(needAfter(1_900), busy, COST, 1, 0);
    assertNull(late.target());
    assertTrue(late.waitingLimit() > 0);
    assertNotNull(selector.choose(need(8_000, Set.of()), busy, COST, 1, 0).target());
    List<TargetSelector.Candidate> calm = List.of(candidate("b", 8, null));
    assertNotNull(selector.choose(needAfter(700), calm, COST, 1, 0).target());
  }

  /**
   * Guards against a backlog after a restart of all entries that fills the groups and makes the new
   * requests late as well: all entries send at the same moment, before they know of each other.
   */
  @Test
  void backlogOfLateRequestsLeavesRoomForNewOnes() {
    int entries = 6;
    int groups = 12;
    int pendingTokens = 0;
    for (int e = 0; e < entries; e++) {
      List<TargetSelector.Candidate> c = new ArrayList<>();
      for (int g = 0; g < groups; g++) {
        c.add(candidate("g" + g, 0, null));
      }
      for (int i = 0; i < 50; i++) {
        TargetSelector.Selection d = selector.choose(needAfter(1_500), c, COST, entries, 0);
        if (d.target() != null) {
          c.stream()
              .filter(g -> g.instance().id().equals(chosen(d)))
              .forEach(g -> g.stats().started(1_400, d.late()));
          pendingTokens += 1_400;
        } else {
          assertTrue(d.waitingLimit() > 0, "late requests wait");
        }
      }
    }
    assertTrue(pendingTokens >= entries * 1_400, "no entry is kept from sending");
    double millis = COST.prefillMillis(need(0, Set.of()).requireModel(), pendingTokens / groups);
    assertTrue(millis <= 0.3 * 500, "a new request waits for " + millis + " ms of prompts");
  }

  /**
   * Guards against more waiting requests than this entry's share of the slots can serve in time.
   */
  @Test
  void waitingLimitIsTheShareOfTheEntry() {
    List<TargetSelector.Candidate> busy =
        List.of(candidate("a", 23, null), candidate("b", 23, null));
    assertEquals(12, selector.choose(needAfter(0), busy, COST, 3, 0).waitingLimit());
    TargetSelector.Need tooLate =
        new TargetSelector.Need(ENGINE.model("large"), 1_400, 135, 300, 100, 500, false, Set.of());
    assertEquals(0, selector.choose(tooLate, busy, COST, 3, 0).waitingLimit());
  }

  /** Guards against streams to another availability zone while the own zone has capacity. */
  @Test
  void prefersOwnZoneUnlessItIsBusier() {
    TargetSelector.Candidate far =
        new TargetSelector.Candidate(head("far", "y"), new InstanceStats(() -> 0), null, false);
    TargetSelector.Candidate near = candidate("near", 3, null);
    TargetSelector.Candidate busy = candidate("near", 17, null);
    assertEquals(
        "near", chosen(selector.choose(need(8_000, Set.of()), List.of(far, near), COST, 1, 0)));
    assertEquals(
        "far", chosen(selector.choose(need(8_000, Set.of()), List.of(far, busy), COST, 1, 0)));
  }

  /** Guards against a retry at the instance that failed the request. */
  @Test
  void neverSelectsAnInstanceTwice() {
    List<TargetSelector.Candidate> c = List.of(candidate("a", 0, null));
    assertNull(selector.choose(need(8_000, Set.of("a")), c, COST, 1, 0).target());
  }

  private static TargetSelector.Candidate limited(String id) {
    return new TargetSelector.Candidate(head(id), new InstanceStats(() -> 0), null, true);
  }

  /** Guards against requests to an instance that accepts none now, while another one has room. */
  @Test
  void groupsThatLimitTheirRequestsLeaveTheRestToOthers() {
    List<TargetSelector.Candidate> c = List.of(limited("a"), limited("b"), candidate("c", 9, null));
    assertEquals("c", chosen(selector.choose(need(8_000, Set.of()), c, COST, 1, 0)));
  }

  /** Guards against requests that wait, or whose refusal hides its reason, if all are limited. */
  @Test
  void surplusIsRefusedIfAllGroupsLimitTheirRequests() {
    List<TargetSelector.Candidate> c = List.of(limited("a"), limited("b"));
    TargetSelector.Selection d = selector.choose(need(8_000, Set.of()), c, COST, 1, 0);
    assertNull(d.target());
    assertEquals("limited", d.reason());
    assertEquals(0, d.waitingLimit());
    assertEquals(
        "no-instance", selector.choose(need(8_000, Set.of("a", "b")), c, COST, 1, 0).reason());
  }
}
