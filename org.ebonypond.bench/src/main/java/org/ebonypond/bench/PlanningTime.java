package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.GroupPlanner;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.Proposal;

/** Measures the wall-clock time of planning for a number of instances in fabric domains of 32. */
final class PlanningTime {
  private static final int DOMAIN_SIZE = 32;
  private static final int MAX_ZONES = 18;
  private static final int WARM_UP = 10;
  private static final int RUNS = 20;

  private final PlacementPolicy policy;
  private final ControlState withoutGroups = new ControlState(EventSink.NONE);
  private final ControlState withGroups = new ControlState(EventSink.NONE);
  private long index;

  PlanningTime(PlacementPolicy policy, int instances) {
    this.policy = policy;
    int domains = Math.max(1, instances / DOMAIN_SIZE);
    int zones = Math.min(MAX_ZONES, domains);
    List<String> zoneNames = new ArrayList<>();
    for (int z = 0; z < zones; z++) {
      zoneNames.add("zone-" + z);
    }
    int perZone = instances / zones;
    // Half of the instances are in groups of 8, three eighths in groups of 2, and the rest are
    // spares.
    ControlCommand document =
        new BenchDocument()
            .model("large", perZone / 16, 8, zoneNames)
            .model("small", perZone * 3 / 16, 2, zoneNames)
            .command();
    apply(document);
    for (int i = 0; i < instances; i++) {
      int domain = i / DOMAIN_SIZE;
      String name = String.format(Locale.ROOT, "i-%06d", i);
      apply(
          new RegisterInstance(
              name,
              "boot-1",
              "10.0.0.1:9000",
              zoneNames.get(domain % zones),
              "domain-" + domain,
              InstanceKind.ENGINE,
              "batcher"));
    }
    withGroups.restore(withoutGroups.snapshot());
    for (Proposal p : plan(withGroups.view())) {
      index++;
      withGroups.apply(index, p.command());
      if (p.command() instanceof FormGroup f) {
        final long epoch = index;
        index++;
        withGroups.apply(index, new GroupReady(f.group(), epoch));
      }
    }
  }

  private void apply(ControlCommand c) {
    index++;
    withoutGroups.apply(index, c);
  }

  private GroupPlanner planner() {
    return new GroupPlanner(policy, PlannerSettings.DEFAULT, EventSink.NONE);
  }

  private List<Proposal> plan(ControlView view) {
    return planner().plan(view, Map.of(), 0);
  }

  String firstPlacement() {
    return measure(withoutGroups.view());
  }

  String nothingToDo() {
    return measure(withGroups.view());
  }

  String memberLost() {
    GroupRecord g = withGroups.view().groups().values().iterator().next();
    return measure(viewWithout(g.members().stream().limit(1).map(m -> m.instance()).toList()));
  }

  String domainLost() {
    return measure(
        viewWithout(
            withGroups.view().instances().values().stream()
                .filter(r -> r.domain().equals("domain-0"))
                .map(InstanceRecord::instance)
                .toList()));
  }

  private ControlView viewWithout(List<String> instances) {
    ControlState copy = new ControlState(EventSink.NONE);
    copy.restore(withGroups.snapshot());
    long i = index;
    for (String name : instances) {
      i++;
      copy.apply(i, new InstanceDown(name, "boot-1", "bench"));
    }
    return copy.view();
  }

  private String measure(ControlView view) {
    double[] millis = new double[RUNS];
    for (int i = -WARM_UP; i < RUNS; i++) {
      GroupPlanner planner = planner();
      long start = System.nanoTime();
      planner.plan(view, Map.of(), 0);
      if (i >= 0) {
        millis[i] = (System.nanoTime() - start) / 1e6;
      }
    }
    Arrays.sort(millis);
    return String.format(Locale.ROOT, "%.2f / %.2f", millis[RUNS / 2], millis[RUNS - 1]);
  }
}
