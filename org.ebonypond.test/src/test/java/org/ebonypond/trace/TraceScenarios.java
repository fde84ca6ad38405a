package org.ebonypond.trace;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.Documents;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.group.ScoredPolicy;
import org.ebonypond.junit.ControlLoop;
import org.ebonypond.junit.FakeEngineFleet;

/**
 * Generates the traces of the resource folder {@code traces}. The main method writes them to the
 * folder given as its argument.
 */
final class TraceScenarios {
  /** The scenarios by the name of their files. */
  static final Map<String, Supplier<Run>> ALL =
      new TreeMap<>(
          Map.of(
              "second-loss", TraceScenarios::secondLoss,
              "domain-dark", TraceScenarios::domainUnreachable,
              "zone-out-and-in", TraceScenarios::zoneOutAndIn,
              "flapping-instance", TraceScenarios::flappingInstance,
              "leader-change", TraceScenarios::leaderChange));

  private static final long SEED = 1;
  private static final long LOAD_MILLIS = 5_000;

  /** A finished run: the control loop and the records of its inputs. */
  record Run(ControlLoop loop, List<TraceRecord> records) {
    Trace trace() {
      return new Trace(
          new TraceHeader(
              new ScoredPolicy().name(), PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT),
          records);
    }
  }

  private TraceScenarios() {}

  public static void main(String[] args) throws IOException {
    for (Map.Entry<String, Supplier<Run>> e : ALL.entrySet()) {
      Path file = Path.of(args[0], e.getKey() + ".trace");
      Files.writeString(file, text(e.getValue().get().trace()));
    }
  }

  static String text(Trace t) throws IOException {
    StringWriter out = new StringWriter();
    try (TraceWriter w = new TraceWriter(out, t.header())) {
      for (TraceRecord r : t.records()) {
        w.write(r);
      }
    }
    return out.toString();
  }

  private static Run start(
      FakeEngineFleet fleet, boolean checksFencing, int groups, int size, String zones) {
    ControlLoop loop =
        new ControlLoop(
            fleet,
            new ScoredPolicy(),
            PlannerSettings.DEFAULT,
            SchedulerSettings.DEFAULT,
            SEED,
            EventSink.NONE);
    List<TraceRecord> records = new ArrayList<>();
    loop.recordTo(records::add);
    loop.apply(
        Documents.create(checksFencing)
            .model("drafter", "1", groups, size, zones.split(" "))
            .version(1));
    return new Run(loop, records);
  }

  private static GroupRecord ready(Run r) {
    return r.loop().groups("drafter", GroupState.READY).get(0);
  }

  private static void runUntil(ControlLoop loop, GroupState wanted) {
    for (int i = 0; loop.groups("drafter", wanted).isEmpty(); i++) {
      if (i > 600) {
        throw new IllegalStateException("no group became " + wanted);
      }
      loop.run(ControlLoop.TICK_MILLIS);
    }
  }

  /** A member fails, and its replacement fails right after the repair. */
  private static Run secondLoss() {
    FakeEngineFleet fleet = new FakeEngineFleet();
    fleet.addZone("a", 1, 6, "batcher", true, LOAD_MILLIS);
    Run r = start(fleet, true, 1, 4, "a");
    r.loop().run(10_000);
    fleet.get(ready(r).members().get(1).instance()).stop();
    runUntil(r.loop(), GroupState.LOADING);
    runUntil(r.loop(), GroupState.READY);
    fleet.get(ready(r).members().get(1).instance()).stop();
    r.loop().run(12_000);
    return r;
  }

  /** A whole fabric domain becomes unreachable and returns with its old group assignments. */
  private static Run domainUnreachable() {
    FakeEngineFleet fleet = new FakeEngineFleet();
    fleet.addZone("a", 2, 4, "batcher", true, LOAD_MILLIS);
    Run r = start(fleet, true, 2, 2, "a");
    r.loop().run(10_000);
    String unreachable = ready(r).domain();
    fleet.setUnreachable(unreachable, true);
    r.loop().run(15_000);
    fleet.setUnreachable(unreachable, false);
    r.loop().run(10_000);
    return r;
  }

  /** Zone c is out of service from the start; zone a is taken out of service for 20 s. */
  private static Run zoneOutAndIn() {
    FakeEngineFleet fleet = new FakeEngineFleet();
    for (String z : List.of("a", "b", "c")) {
      fleet.addZone(z, 1, 2, "batcher", true, LOAD_MILLIS);
    }
    Run r = start(fleet, true, 1, 2, "a b c");
    r.loop().apply(new SetZone("c", true, "out-c"));
    r.loop().run(10_000);
    r.loop().apply(new SetZone("a", true, "out-a"));
    r.loop().run(20_000);
    r.loop().apply(new SetZone("a", false, "in-a"));
    r.loop().run(10_000);
    return r;
  }

  /** A member restarts every 4 s while the domain has one spare. */
  private static Run flappingInstance() {
    FakeEngineFleet fleet = new FakeEngineFleet();
    fleet.addZone("a", 1, 3, "batcher", true, 1_000);
    Run r = start(fleet, true, 1, 2, "a");
    r.loop().run(5_000);
    String flapping = ready(r).members().get(0).instance();
    for (int i = 0; i < 6; i++) {
      fleet.get(flapping).restart();
      r.loop().run(4_000);
    }
    return r;
  }

  /**
   * The lease of the first leader ends while one of its orders is in flight to an engine that
   * ignores fencing numbers; the order arrives 3.9 s after the end of the lease.
   */
  private static Run leaderChange() {
    FakeEngineFleet fleet = new FakeEngineFleet();
    fleet.addZone("a", 1, 2, "batcher", false, 500);
    Run r = start(fleet, false, 1, 2, "a");
    ControlLoop loop = r.loop();
    runUntil(loop, GroupState.LOADING);
    final GroupRecord old = loop.groups("drafter", GroupState.LOADING).get(0);
    loop.run(4_000);
    loop.endLease();
    loop.run(1_000);
    loop.elect(SchedulerSettings.DEFAULT);
    loop.deliverLateLoad(old, 2_900);
    loop.apply(Documents.create(false).model("drafter", "2", 1, 2, "a").version(2));
    loop.run(15_000);
    return r;
  }
}
