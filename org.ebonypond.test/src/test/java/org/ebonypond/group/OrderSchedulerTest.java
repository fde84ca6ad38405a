package org.ebonypond.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.SchedulerOutput.OrderToSend;
import org.ebonypond.group.SchedulerOutput.StateRead;
import org.ebonypond.junit.ControlLoop;
import org.ebonypond.junit.FakeEngineFleet;
import org.junit.jupiter.api.Test;

class OrderSchedulerTest {
  private static final SchedulerSettings DEFAULT = SchedulerSettings.DEFAULT;

  private final ControlState state = new ControlState(EventSink.NONE);
  private final OrderScheduler scheduler = new OrderScheduler(DEFAULT, EventSink.NONE);

  private static SchedulerSettings settingsWithTakeoverWait(long millis) {
    return new SchedulerSettings(2_000, millis, 500, 10_000, 250, 5_000, 32, 900_000, 500);
  }

  /**
   * Runs a change of leader while an order of the old leader is in flight for 3.9 s: it was sent at
   * the end of the old lease and arrives at the end of the order timeout.
   *
   * @return whether a member of a ready group had the wrong model loaded
   */
  private static boolean servesWrongModelAfterTakeover(boolean checksFencing, long waitMillis) {
    FakeEngineFleet fleet = new FakeEngineFleet();
    fleet.addZone("a", 1, 2, "batcher", checksFencing, 500);
    ControlLoop loop =
        new ControlLoop(
            fleet, new ScoredPolicy(), PlannerSettings.DEFAULT, DEFAULT, 1, EventSink.NONE);
    loop.apply(Documents.create(checksFencing).model("drafter", "1", 1, 2, "a").version(1));
    while (loop.groups("drafter", GroupState.LOADING).isEmpty()) {
      loop.run(ControlLoop.TICK_MILLIS);
    }
    var old = loop.groups("drafter", GroupState.LOADING).get(0);
    loop.elect(settingsWithTakeoverWait(waitMillis));
    loop.deliverLateLoad(old, 3_900);
    loop.apply(Documents.create(checksFencing).model("drafter", "2", 1, 2, "a").version(2));
    boolean wrong = false;
    for (int i = 0; i < 150; i++) {
      loop.run(ControlLoop.TICK_MILLIS);
      wrong |= !loop.misloaded().isEmpty();
    }
    assertEquals(1, loop.groups("drafter", GroupState.READY).size());
    return wrong;
  }

  /** Guards against a late order of an old leader that changes a member of a serving group. */
  @Test
  void newLeaderWaitsForOrdersOfTheOldOne() {
    assertFalse(servesWrongModelAfterTakeover(false, DEFAULT.takeoverWaitMillis()));
    assertFalse(servesWrongModelAfterTakeover(true, DEFAULT.takeoverWaitMillis()));
    assertFalse(
        servesWrongModelAfterTakeover(true, 0), "an engine that checks fencing needs no wait");
  }

  /** Shows that the wait is needed: without it, the late order changes a serving member. */
  @Test
  void withoutTheWaitAnOldOrderReachesServingEngine() {
    assertTrue(servesWrongModelAfterTakeover(false, 0));
  }

  private void formGroupsAndElect(int groups) {
    long index = 1;
    state.apply(index++, Documents.create(true).model("drafter", "1", groups, 1, "a").version(1));
    for (int i = 1; i <= groups; i++) {
      String name = "i" + i;
      state.apply(
          index++,
          new RegisterInstance(name, "x", name + ":1", "a", "d", InstanceKind.ENGINE, "batcher"));
      state.apply(
          index++,
          new FormGroup(
              "g-" + i, "drafter", "1", List.of("badge"), List.of(new GroupMember(name, "x"))));
    }
    scheduler.elected(0);
  }

  private static EngineState idle(String name) {
    return new EngineState(name, "x", EngineStatus.IDLE, "", -1, List.of(), "", "", 0);
  }

  private SchedulerOutput poll(long now) {
    return scheduler.poll(state.view(), now, now + 1);
  }

  /** Answers the first read of each engine with an idle state and returns the resulting orders. */
  private List<OrderToSend> firstOrders() {
    for (StateRead r : poll(0).reads()) {
      scheduler.stateRead(r.token(), idle(r.instance()), 0);
    }
    return poll(0).orders();
  }

  /** Guards against orders sent after the leader lease has expired. */
  @Test
  void sendsNothingWithoutTheLease() {
    formGroupsAndElect(1);
    assertEquals(SchedulerOutput.NONE, scheduler.poll(state.view(), 10, 10));
    assertEquals(1, scheduler.poll(state.view(), 10, 11).reads().size());
  }

  /** Guards against all groups loading from the rate-limited weight store at once. */
  @Test
  void boundsGroupsThatLoadAtOnce() {
    formGroupsAndElect(40);
    assertEquals(DEFAULT.maxLoadingGroups(), firstOrders().size());
    assertTrue(poll(100).orders().isEmpty());
  }

  /** Guards against a lost order that is never retried, and against retries without a backoff. */
  @Test
  void readsAndOrdersAgainAfterTimeout() {
    formGroupsAndElect(1);
    OrderToSend first = firstOrders().get(0);
    assertEquals(SchedulerOutput.NONE, poll(1_999));
    assertEquals(SchedulerOutput.NONE, poll(2_000));
    StateRead read = poll(2_250).reads().get(0);
    scheduler.orderAccepted(first.token(), 2_250);
    scheduler.stateRead(read.token(), idle("i1"), 2_300);
    assertEquals(first.order(), poll(2_300).orders().get(0).order());
  }

  /**
   * Guards against a group that becomes ready based on the state of another epoch, rank or boot.
   */
  @Test
  void proposesReadyOnlyForTheCurrentEpoch() {
    formGroupsAndElect(1);
    scheduler.orderAccepted(firstOrders().get(0).token(), 0);
    long epoch = state.view().groups().get("g-1").epoch();
    assertTrue(proposalsAfterState(0, "x", "g-1", 0, epoch - 1).isEmpty());
    assertTrue(proposalsAfterState(10_000, "y", "g-1", 0, epoch).isEmpty());
    assertTrue(proposalsAfterState(20_000, "x", "g-0", 0, epoch).isEmpty());
    assertTrue(proposalsAfterState(30_000, "x", "g-1", 1, epoch).isEmpty());
    List<Proposal> proposals = proposalsAfterState(40_000, "x", "g-1", 0, epoch);
    assertEquals(new GroupReady("g-1", epoch), proposals.get(0).command());
  }

  /** Guards against a member that keeps the adapters of another group of the same model. */
  @Test
  void loadsAgainUnlessItsOwnOrderLoadedTheAdapters() {
    formGroupsAndElect(1);
    OrderToSend first = firstOrders().get(0);
    scheduler.failed(first.token(), 0);
    assertEquals(EngineOrder.Type.LOAD, typeAfterReading(10_000, "g-0", 1));
    long own = first.order().fencing();
    assertEquals(EngineOrder.Type.ROLE, typeAfterReading(20_000, "g-0", own));
  }

  /** Returns the type of the order sent to an engine that has the model loaded for a group. */
  private EngineOrder.Type typeAfterReading(long now, String group, long fencing) {
    StateRead read = poll(now).reads().get(0);
    EngineState s =
        new EngineState(
            "i1", "x", EngineStatus.READY, group, 0, List.of(), "drafter", "1", fencing);
    scheduler.stateRead(read.token(), s, now);
    OrderToSend o = poll(now).orders().get(0);
    scheduler.failed(o.token(), now);
    return o.order().type();
  }

  /** Accepts every order for 5 s, answers every read with one state, and returns the proposals. */
  private List<Proposal> proposalsAfterState(
      long from, String boot, String group, int rank, long fencing) {
    List<Proposal> out = new ArrayList<>();
    for (long now = from; now < from + 5_000; now += 100) {
      SchedulerOutput o = poll(now);
      out.addAll(o.proposals());
      for (OrderToSend order : o.orders()) {
        scheduler.orderAccepted(order.token(), now);
      }
      for (StateRead r : o.reads()) {
        EngineState s =
            new EngineState(
                "i1",
                boot,
                EngineStatus.READY,
                group,
                rank,
                List.of("i1:1"),
                "drafter",
                "1",
                fencing);
        scheduler.stateRead(r.token(), s, now);
      }
    }
    return out;
  }
}
