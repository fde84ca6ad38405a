package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.HashMap;
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
import org.ebonypond.document.WorkspaceSpec;

/** Builds control views in which every group is ready. */
final class BenchViews {
  static final String MODEL = "drafter";

  private BenchViews() {}

  /**
   * Returns a view of groups {@code g0} to {@code g(n-1)}, spread evenly over the zones. The name
   * of an instance is that of its group, a hyphen and its rank.
   */
  static ControlView of(
      int groups, int members, int zones, int maxConcurrency, List<WorkspaceSpec> workspaces) {
    Map<String, InstanceRecord> instances = new HashMap<>();
    Map<String, GroupRecord> records = new HashMap<>();
    for (int g = 0; g < groups; g++) {
      String name = "g" + g;
      String zone = "z" + g % zones;
      List<GroupMember> list = new ArrayList<>();
      for (int m = 0; m < members; m++) {
        String i = name + "-" + m;
        list.add(new GroupMember(i, "boot1"));
        instances.put(
            i,
            new InstanceRecord(
                i,
                "boot1",
                "10.0.0.1:8000",
                zone,
                "d" + g,
                InstanceKind.ENGINE,
                "batcher",
                InstanceStatus.UP,
                g + 1));
      }
      records.put(
          name,
          new GroupRecord(name, MODEL, "1", zone, "d" + g, list, GroupState.READY, g + 1, g + 1));
    }
    List<String> zoneNames = new ArrayList<>();
    for (int z = 0; z < zones; z++) {
      zoneNames.add("z" + z);
    }
    ModelSpec model =
        new ModelSpec(
            MODEL,
            "1",
            List.of(),
            "batcher",
            zoneNames,
            groups,
            members,
            maxConcurrency,
            maxConcurrency,
            1);
    ServiceDocument d =
        new ServiceDocument(
            1, List.of(model), List.of(), List.of(), workspaces, LimitsSpec.DEFAULT, "");
    return new ControlView(groups + 1, d, "", Set.of(), instances, records);
  }
}
