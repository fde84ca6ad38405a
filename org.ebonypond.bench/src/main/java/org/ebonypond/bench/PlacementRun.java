package org.ebonypond.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.junit.ControlLoop;
import org.ebonypond.junit.FakeEngine;
import org.ebonypond.junit.FakeEngineFleet;

/**
 * One run of a placement policy on a simulated fleet, with failures that depend only on the seed.
 */
final class PlacementRun {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final long MODEL_LOAD_MILLIS = 30_000;
  private static final int RECOVERY_SECONDS = 240;

  /** The fraction of the fleet that the declared groups use. */
  enum Load {
    /** Groups use 42 of the 48 instances of each zone. */
    SPARES("spares", 9, 4, 1),
    /** Groups use 46 of the 48 instances of each zone. */
    TIGHT("tight", 11, 4, 1),
    /** Groups need more than the 48 instances of each zone. */
    OVERFULL("more than fit", 12, 6, 3);

    private final String label;
    private final int small;
    private final int medium;
    private final int large;

    Load(String label, int small, int medium, int large) {
      this.label = label;
      this.small = small;
      this.medium = medium;
      this.large = large;
    }

    String label() {
      return label;
    }
  }

  /**
   * Sums over one or more runs.
   *
   * @param downMillis group-milliseconds in which a declared group was not ready
   * @param strandedMillis instance-milliseconds in which a free instance could not be used because
   *     no complete group could be formed with it
   * @param moves the number of times that an instance was assigned to a group
   */
  record Totals(long downMillis, long strandedMillis, long moves) {
    Totals plus(Totals o) {
      return new Totals(
          downMillis + o.downMillis, strandedMillis + o.strandedMillis, moves + o.moves);
    }
  }

  private PlacementRun() {}

  static Totals run(PlacementPolicy policy, Load load, long seed, int minutes) {
    FakeEngineFleet fleet = new FakeEngineFleet();
    ZONES.forEach(z -> fleet.addZone(z, 4, 12, "batcher", true, MODEL_LOAD_MILLIS));
    ControlLoop loop =
        new ControlLoop(
            fleet,
            policy,
            PlannerSettings.DEFAULT,
            SchedulerSettings.DEFAULT,
            seed,
            EventSink.NONE);
    loop.apply(
        new BenchDocument()
            .model("drafter", load.small, 2, ZONES)
            .model("ledger", load.medium, 4, ZONES)
            .model("summary", load.large, 8, ZONES)
            .command());
    FailureInjector injector = new FailureInjector(fleet, loop, seed);
    for (int second = 0; second < minutes * 60; second++) {
      injector.inject(second);
      loop.run(1_000);
    }
    return new Totals(loop.downMillis(), loop.strandedMillis(), loop.moves());
  }

  /**
   * Injects failures: an instance every 30 s, a fabric domain every 15 min, an availability zone
   * every 30 min.
   */
  private static final class FailureInjector {
    private static final int INSTANCE_SECONDS = 30;
    private static final int DOMAIN_SECONDS = 900;
    private static final int ZONE_SECONDS = 1_800;

    private final FakeEngineFleet fleet;
    private final ControlLoop loop;
    private final Random random;
    private final Deque<Repair> repairs = new ArrayDeque<>();
    private final List<FakeEngine> engines;

    private record Repair(int second, Runnable action) {}

    FailureInjector(FakeEngineFleet fleet, ControlLoop loop, long seed) {
      this.fleet = fleet;
      this.loop = loop;
      this.random = new Random(seed);
      this.engines = List.copyOf(fleet.all());
    }

    void inject(int second) {
      repairs.removeIf(r -> runIfDue(r, second));
      // Draws the random numbers whether they are needed or not, so that all policies see the same
      // failures.
      final FakeEngine instance = engines.get(random.nextInt(engines.size()));
      final boolean restartsAtOnce = random.nextBoolean();
      final FakeEngine other = engines.get(random.nextInt(engines.size()));
      if (second % INSTANCE_SECONDS == INSTANCE_SECONDS - 1) {
        fail(instance, restartsAtOnce, second);
      }
      if (second % DOMAIN_SECONDS == DOMAIN_SECONDS - 1) {
        fleet.setUnreachable(other.domain(), true);
        scheduleRepair(second, () -> fleet.setUnreachable(other.domain(), false));
      }
      if (second % ZONE_SECONDS == ZONE_SECONDS - 1) {
        loop.apply(new SetZone(other.zone(), true, ""));
        scheduleRepair(second, () -> loop.apply(new SetZone(other.zone(), false, "")));
      }
    }

    private void fail(FakeEngine e, boolean restartsAtOnce, int second) {
      if (!e.isRunning()) {
        return;
      }
      if (restartsAtOnce) {
        e.restart();
        return;
      }
      e.stop();
      scheduleRepair(second, e::restart);
    }

    private void scheduleRepair(int second, Runnable action) {
      repairs.add(new Repair(second + RECOVERY_SECONDS, action));
    }

    private static boolean runIfDue(Repair r, int second) {
      if (r.second() > second) {
        return false;
      }
      r.action().run();
      return true;
    }
  }
}
