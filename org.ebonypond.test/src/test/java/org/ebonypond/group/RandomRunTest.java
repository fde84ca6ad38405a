package org.ebonypond.group;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.GroupState;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.SchedulerOutput.OrderToSend;
import org.ebonypond.junit.ControlLoop;
import org.ebonypond.junit.FakeEngine;
import org.ebonypond.junit.FakeEngineFleet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs of 1,800 s with random failures. The control state checks its invariants after each command.
 * The system property {@code ebonypond.seeds} sets the number of seeds.
 */
class RandomRunTest {
  private static final String[] ZONES = {"a", "b", "c"};
  private static final int DEFAULT_SEEDS = 5;

  private final FakeEngineFleet fleet = new FakeEngineFleet();
  private final List<String> unreachable = new ArrayList<>();

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Integer.getInteger("ebonypond.seeds", DEFAULT_SEEDS));
  }

  private static Documents document(boolean checksFencing, long version) {
    return Documents.create(checksFencing)
        .model("drafter", "v" + version / 3, 4 + (int) (version % 3), 2, ZONES)
        .model("ledger", "v" + version / 2, 2, 4, ZONES);
  }

  /**
   * Guards against states that the scenario tests do not cover, and against runs that do not
   * converge after the failures end.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void convergesAfterRandomFailures(long seed) {
    final Random random = new Random(seed);
    final boolean checksFencing = seed % 2 == 0;
    for (String z : ZONES) {
      fleet.addZone(z, 4, 8, "batcher", checksFencing, 3_000);
    }
    PlacementPolicy policy = seed % 3 == 0 ? new GreedyPolicy() : new ScoredPolicy();
    ControlLoop loop =
        new ControlLoop(
            fleet,
            policy,
            PlannerSettings.DEFAULT,
            SchedulerSettings.DEFAULT,
            seed,
            EventSink.NONE);
    loop.apply(document(checksFencing, 1).version(1));
    loop.setLossPercent(5);
    for (int second = 0; second < 1_800; second++) {
      injectFailure(loop, random, checksFencing);
      for (int i = 0; i < 10; i++) {
        loop.run(ControlLoop.TICK_MILLIS);
        assertTrue(loop.misloaded().isEmpty(), () -> "misloaded: " + loop.misloaded());
      }
    }
    repairFailures(loop);
    loop.run(900_000);
    assertEquals(0, loop.missing(), () -> "groups: " + loop.view().groups());
    assertReplayGivesTheSameState(loop);
  }

  private void injectFailure(ControlLoop loop, Random random, boolean checksFencing) {
    List<FakeEngine> all = List.copyOf(fleet.all());
    FakeEngine e = all.get(random.nextInt(all.size()));
    switch (random.nextInt(40)) {
      case 0 -> e.stop();
      case 1, 2 -> e.restart();
      case 3 -> e.leave();
      case 4 -> setUnreachable(e.name());
      case 5 -> {
        if (random.nextInt(8) == 0) {
          setUnreachable(e.domain());
        }
      }
      case 6, 7, 8 -> {
        if (!unreachable.isEmpty()) {
          fleet.setUnreachable(unreachable.remove(0), false);
        }
      }
      case 9 -> all.stream().filter(x -> !x.isRunning()).findFirst().ifPresent(FakeEngine::restart);
      case 10 -> loop.apply(new SetZone(e.zone(), random.nextInt(4) == 0, ""));
      case 11 -> {
        long next = loop.view().document() == null ? 1 : loop.view().document().version() + 1;
        loop.apply(document(checksFencing, next).version(next));
      }
      case 12 -> changeLeader(loop, random, e);
      case 13 -> loop.setFrozen(true);
      case 14, 15 -> loop.setFrozen(false);
      default -> {}
    }
  }

  private void setUnreachable(String name) {
    fleet.setUnreachable(name, true);
    unreachable.add(name);
  }

  /**
   * Elects a new leader while an order of the old one is in flight, for at most 4 s. Only a member
   * of a loading group that was not proposed as ready can have such an order: the old leader
   * proposes readiness only after it has read the state of every member and while no order is in
   * flight.
   */
  private static void changeLeader(ControlLoop loop, Random random, FakeEngine e) {
    loop.elect(SchedulerSettings.DEFAULT);
    loop.view().groups().values().stream()
        .filter(g -> g.state() == GroupState.LOADING && g.hasMember(e.name()))
        .filter(g -> !loop.isProposed(new GroupReady(g.group(), g.epoch())))
        .forEach(
            g ->
                loop.deliverLate(
                    new OrderToSend(
                        1,
                        e.name(),
                        e.name() + ":9000",
                        new EngineOrder(
                            g.epoch() - 1,
                            EngineOrder.Type.LOAD,
                            g.model(),
                            g.version(),
                            g.adapters(),
                            "old-group",
                            0,
                            List.of())),
                    100 + random.nextInt(3_800)));
  }

  private void repairFailures(ControlLoop loop) {
    loop.setLossPercent(0);
    loop.setFrozen(false);
    unreachable.forEach(d -> fleet.setUnreachable(d, false));
    fleet.all().stream()
        .filter(e -> !e.isRunning() || e.announcement(0).status() == EngineStatus.LEAVING)
        .forEach(FakeEngine::restart);
    for (String z : ZONES) {
      loop.apply(new SetZone(z, false, ""));
    }
  }

  private static void assertReplayGivesTheSameState(ControlLoop loop) {
    ControlState replayed = new ControlState(EventSink.NONE);
    long index = 0;
    for (ControlCommand c : loop.log()) {
      index++;
      replayed.apply(index, c);
    }
    assertArrayEquals(loop.state().snapshot(), replayed.snapshot());
  }
}
