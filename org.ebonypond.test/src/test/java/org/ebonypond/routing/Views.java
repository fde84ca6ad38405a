package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.LimitsSpec;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.ServiceSpec;

/** A mutable control view for tests, with groups of two instances and plain service instances. */
final class Views {
  static final String MODEL = "drafter";
  static final String SERVICE = "orders";

  final Map<String, InstanceRecord> instances = new HashMap<>();
  final Map<String, GroupRecord> groups = new HashMap<>();
  final Set<String> zonesOut = new HashSet<>();
  private final int maxConcurrency;
  private long index;

  Views(int maxConcurrency) {
    this.maxConcurrency = maxConcurrency;
  }

  /** Adds groups g0, g1 and so on, spread over zones z0, z1 and z2. */
  Views withGroups(int n) {
    for (int i = 0; i < n; i++) {
      String zone = "z" + i % 3;
      List<GroupMember> members = new ArrayList<>();
      for (String rank : List.of("a", "b")) {
        String name = "g" + i + rank;
        up(name, "boot1", zone, InstanceKind.ENGINE);
        members.add(new GroupMember(name, "boot1"));
      }
      String g = "g" + i;
      groups.put(
          g,
          new GroupRecord(g, MODEL, "1", zone, "d" + i, members, GroupState.READY, ++index, index));
    }
    return this;
  }

  Views withServices(int n) {
    for (int i = 0; i < n; i++) {
      up("s" + i, "boot1", "z" + i % 3, InstanceKind.SERVICE);
    }
    return this;
  }

  void up(String name, String boot, String zone, InstanceKind kind) {
    String flavor = kind == InstanceKind.ENGINE ? "batcher" : SERVICE;
    instances.put(
        name,
        new InstanceRecord(
            name, boot, "10.0.0.1:80", zone, "d", kind, flavor, InstanceStatus.UP, ++index));
  }

  void status(String name, InstanceStatus s) {
    instances.computeIfPresent(name, (k, i) -> i.withStatus(s));
  }

  void state(String group, GroupState s) {
    groups.computeIfPresent(
        group,
        (k, g) ->
            new GroupRecord(
                g.group(),
                g.model(),
                g.version(),
                g.zone(),
                g.domain(),
                g.members(),
                s,
                g.epoch(),
                g.readyIndex()));
  }

  ControlView view() {
    ServiceDocument d =
        new ServiceDocument(
            1,
            List.of(
                new ModelSpec(
                    MODEL,
                    "1",
                    List.of(),
                    "batcher",
                    List.of("z0", "z1", "z2"),
                    10,
                    2,
                    maxConcurrency,
                    2,
                    20)),
            List.of(new ServiceSpec(SERVICE, maxConcurrency, 4, 10, List.of())),
            List.of(),
            List.of(),
            LimitsSpec.DEFAULT,
            "");
    return new ControlView(++index, d, "", zonesOut, instances, groups);
  }

  Target group(String name) {
    List<Target> all = RoutingTable.of(view()).model(MODEL);
    if (all == null) {
      throw new AssertionError("the model is not declared");
    }
    return all.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }
}
