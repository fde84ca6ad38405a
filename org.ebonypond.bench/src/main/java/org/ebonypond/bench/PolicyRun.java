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

/** One run of a policy against a fleet whose failures depend on the seed alone. */
final class PolicyRun {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final long LOAD_MILLIS = 30_000;
  private static final int RETURN_SECONDS = 240;

  /** How much of the fleet the declared groups use. */
  enum Load {
    /** Groups use 42 of the 48 instances of each zone. */
    SPARES("spares", 9, 4, 1),
    /** Groups use 46 of the 48 instances of each zone. */
    TIGHT("tight", 11, 4, 1),
    /** More groups than fit. */
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
   * The figures of runs.
   *
   * @param downMillis group-milliseconds in which a declared group was not ready
   * @param strandedMillis instance-milliseconds in which an instance could serve no whole group
   * @param moves the number of instances put into groups
   */
  record Figures(long downMillis, long strandedMillis, long moves) {
    Figures plus(Figures o) {
      return new Figures(
          downMillis + o.downMillis, strandedMillis + o.strandedMillis, moves + o.moves);
    }
  }

  private PolicyRun() {}

  static Figures run(PlacementPolicy policy, Load load, long seed, int minutes) {
    FakeEngineFleet fleet = new FakeEngineFleet();
    ZONES.forEach(z -> fleet.addZone(z, 4, 12, "batcher", true, LOAD_MILLIS));
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
    Failures failures = new Failures(fleet, loop, seed);
    for (int second = 0; second < minutes * 60; second++) {
      failures.second(second);
      loop.run(1_000);
    }
    return new Figures(loop.downMillis(), loop.strandedMillis(), loop.moves());
  }

  /** The failures of a run: an instance each 30 s, a domain each 15 min, a zone each 30 min. */
  private static final class Failures {
    private static final int INSTANCE_SECONDS = 30;
    private static final int DOMAIN_SECONDS = 900;
    private static final int ZONE_SECONDS = 1_800;

    private final FakeEngineFleet fleet;
    private final ControlLoop loop;
    private final Random random;
    private final Deque<Repair> repairs = new ArrayDeque<>();
    private final List<FakeEngine> engines;

    private record Repair(int second, Runnable action) {}

    Failures(FakeEngineFleet fleet, ControlLoop loop, long seed) {
      this.fleet = fleet;
      this.loop = loop;
      this.random = new Random(seed);
      this.engines = List.copyOf(fleet.all());
    }

    void second(int second) {
      repairs.removeIf(r -> due(r, second));
      // The random numbers are drawn in every case, so that all policies see the same failures.
      final FakeEngine instance = engines.get(random.nextInt(engines.size()));
      final boolean restarts = random.nextBoolean();
      final FakeEngine other = engines.get(random.nextInt(engines.size()));
      if (second % INSTANCE_SECONDS == INSTANCE_SECONDS - 1) {
        fail(instance, restarts, second);
      }
      if (second % DOMAIN_SECONDS == DOMAIN_SECONDS - 1) {
        fleet.setUnreachable(other.domain(), true);
        later(second, () -> fleet.setUnreachable(other.domain(), false));
      }
      if (second % ZONE_SECONDS == ZONE_SECONDS - 1) {
        loop.apply(new SetZone(other.zone(), true, ""));
        later(second, () -> loop.apply(new SetZone(other.zone(), false, "")));
      }
    }

    private void fail(FakeEngine e, boolean restarts, int second) {
      if (!e.isRunning()) {
        return;
      }
      if (restarts) {
        e.restart();
        return;
      }
      e.stop();
      later(second, e::restart);
    }

    private void later(int second, Runnable action) {
      repairs.add(new Repair(second + RETURN_SECONDS, action));
    }

    private static boolean due(Repair r, int second) {
      if (r.second() > second) {
        return false;
      }
      r.action().run();
      return true;
    }
  }
}
