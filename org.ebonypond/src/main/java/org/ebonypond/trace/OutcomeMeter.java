package org.ebonypond.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.group.StrandedInstances;
import org.jspecify.annotations.Nullable;

/**
 * Measures the views of a replay. Checks the invariants independently of the checks of the control
 * state.
 */
final class OutcomeMeter {
  private final long from;
  private final List<String> violations = new ArrayList<>();
  private final Set<String> zonesWithGroups = new HashSet<>();
  private long measuredTo;
  private int missing;
  private int stranded;
  private long groupMillisDown;
  private long instanceMillisStranded;
  private long moves;
  private long twoGroups;

  OutcomeMeter(long from) {
    this.from = from;
    this.measuredTo = from;
  }

  /** Adds the time since the last call, during which the view did not change. */
  void advance(long now) {
    if (now <= measuredTo) {
      return;
    }
    groupMillisDown += missing * (now - measuredTo);
    instanceMillisStranded += stranded * (now - measuredTo);
    measuredTo = now;
  }

  /** Counts the moves of an accepted command. */
  void commandAccepted(ControlCommand c, long now) {
    if (now < from) {
      return;
    }
    moves += c instanceof ControlCommand.FormGroup f ? f.members().size() : 0;
    moves += c instanceof ControlCommand.ReplaceMember ? 1 : 0;
  }

  /** Records a violation that the control state reported. */
  void addViolation(String message) {
    violations.add(message);
  }

  /** Measures and checks a new view. */
  void viewChanged(ControlView view, long now) {
    missing = MissingGroups.count(view);
    stranded = StrandedInstances.count(view);
    Map<String, String> owners = new HashMap<>();
    for (GroupRecord g : view.groups().values()) {
      boolean ready = g.state() == GroupState.READY;
      if (ready && now >= from) {
        zonesWithGroups.add(g.zone());
      }
      for (GroupMember m : g.members()) {
        String other = owners.put(m.instance(), g.group());
        if (other != null) {
          twoGroups++;
          violations.add(m.instance() + " is in " + other + " and " + g.group());
        }
        if (ready && isMissing(view.instances().get(m.instance()), m)) {
          violations.add(g.group() + " is ready without " + m.instance());
        }
      }
    }
  }

  private static boolean isMissing(@Nullable InstanceRecord r, GroupMember m) {
    return r == null || r.status() == InstanceStatus.DOWN || !r.boot().equals(m.boot());
  }

  long groupMillisDown() {
    return groupMillisDown;
  }

  long instanceMillisStranded() {
    return instanceMillisStranded;
  }

  long moves() {
    return moves;
  }

  long twoGroups() {
    return twoGroups;
  }

  Set<String> zonesWithGroups() {
    return zonesWithGroups;
  }

  List<String> violations() {
    return violations;
  }
}
