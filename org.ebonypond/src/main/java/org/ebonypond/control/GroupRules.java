package org.ebonypond.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ebonypond.control.ControlCommand.DissolveGroup;
import org.ebonypond.control.ControlCommand.DrainGroup;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * The rules for forming, changing and dissolving groups. Each rule returns null if the command was
 * applied, or why it was rejected.
 */
final class GroupRules {
  private static final Pattern NAME = Pattern.compile("(?:.*[^0-9])([0-9]{1,18})");

  private final ControlTables tables;
  private final EventSink events;

  GroupRules(ControlTables tables, EventSink events) {
    this.tables = tables;
    this.events = events;
  }

  @Nullable Rejection form(FormGroup c) {
    Matcher name = NAME.matcher(c.group());
    if (!name.matches() || Long.parseLong(name.group(1)) <= tables.groupSequence) {
      return Rejection.because(
          "group name %s must end in a number greater than %d", c.group(), tables.groupSequence);
    }
    ModelSpec model =
        tables.document == null ? null : tables.document.model(c.model()).orElse(null);
    if (model == null) {
      return Rejection.of(ErrorCode.UNKNOWN_MODEL, c.model());
    }
    if (!model.version().equals(c.version()) || !model.adapters().equals(c.adapters())) {
      return Rejection.because(
          "model %s is declared with version %s and adapters %s",
          c.model(), model.version(), model.adapters());
    }
    if (c.members().size() != model.instancesPerGroup()) {
      return Rejection.because(
          "a group of model %s has %d instances", c.model(), model.instancesPerGroup());
    }
    InstanceRecord first = tables.instance(c.members().get(0).instance());
    Rejection rejection = checkMembers(c, model, first);
    if (rejection != null || first == null) {
      return rejection;
    }
    tables.groupSequence = Long.parseLong(name.group(1));
    tables.putGroup(
        new GroupRecord(
            c.group(),
            c.model(),
            c.version(),
            first.zone(),
            first.domain(),
            c.members(),
            GroupState.LOADING,
            tables.index,
            0,
            c.adapters(),
            ""));
    emit(EventCode.GROUP_FORMED, c.group(), Map.of("model", c.model(), "zone", first.zone()));
    return null;
  }

  private @Nullable Rejection checkMembers(
      FormGroup c, ModelSpec model, @Nullable InstanceRecord first) {
    Set<String> names = new HashSet<>();
    for (GroupMember m : c.members()) {
      if (!names.add(m.instance())) {
        return Rejection.because("instance %s is listed twice", m.instance());
      }
      Rejection rejection = checkFree(m, model.engineKind());
      if (rejection != null) {
        return rejection;
      }
      InstanceRecord r = tables.instance(m.instance());
      if (r == null || first == null || !isSameDomain(r, first.zone(), first.domain())) {
        return Rejection.because(
            "instance %s is in another fabric domain or availability zone", m.instance());
      }
    }
    if (first != null && !model.zones().contains(first.zone())) {
      return Rejection.because(
          "model %s is not declared in availability zone %s", c.model(), first.zone());
    }
    return null;
  }

  private @Nullable Rejection checkFree(GroupMember m, String engineKind) {
    String owner = tables.groupOf(m.instance());
    if (owner != null) {
      return Rejection.because("instance %s is in group %s", m.instance(), owner);
    }
    return checkUsable(m, engineKind);
  }

  private @Nullable Rejection checkUsable(GroupMember m, String engineKind) {
    InstanceRecord r = tables.instance(m.instance());
    if (r == null) {
      return Rejection.because("instance %s is not registered", m.instance());
    }
    if (r.status() != InstanceStatus.UP) {
      return Rejection.because("instance %s is %s", m.instance(), r.status());
    }
    if (!r.boot().equals(m.boot())) {
      return Rejection.because("instance %s has boot %s", m.instance(), r.boot());
    }
    if (r.kind() != InstanceKind.ENGINE || !r.flavor().equals(engineKind)) {
      return Rejection.because("instance %s does not run engine %s", m.instance(), engineKind);
    }
    if (tables.zonesOut.contains(r.zone())) {
      return Rejection.because("availability zone %s is out of service", r.zone());
    }
    return null;
  }

  private static boolean isSameDomain(InstanceRecord r, String zone, String domain) {
    return r.zone().equals(zone) && r.domain().equals(domain);
  }

  @Nullable Rejection ready(GroupReady c) {
    GroupRecord g = tables.group(c.group());
    Rejection rejection = checkEpoch(g, c.group(), c.epoch());
    if (rejection != null || g == null) {
      return rejection;
    }
    if (g.state() == GroupState.READY) {
      return null;
    }
    if (g.state() != GroupState.LOADING || !allMembersUp(g)) {
      return Rejection.because("group %s is %s or has a missing member", c.group(), g.state());
    }
    tables.putGroup(g.withReady(tables.index));
    emit(EventCode.GROUP_READY, c.group(), Map.of("epoch", String.valueOf(c.epoch())));
    return null;
  }

  /** Returns whether every member is up with the boot, zone and domain with which it joined. */
  private boolean allMembersUp(GroupRecord g) {
    for (GroupMember m : g.members()) {
      InstanceRecord r = tables.instance(m.instance());
      if (r == null || r.status() != InstanceStatus.UP || !InvariantCheck.canServe(g, m, r)) {
        return false;
      }
    }
    return true;
  }

  @Nullable Rejection replace(ReplaceMember c) {
    GroupRecord g = tables.group(c.group());
    Rejection rejection = checkEpoch(g, c.group(), c.epoch());
    if (rejection != null || g == null) {
      return rejection;
    }
    int rank = g.rankOf(c.out());
    if (rank < 0 || g.state() == GroupState.DRAINING) {
      return Rejection.because(
          "instance %s is not in group %s, or the group is draining", c.out(), c.group());
    }
    ModelSpec model =
        tables.document == null ? null : tables.document.model(g.model()).orElse(null);
    if (model == null) {
      return Rejection.of(ErrorCode.UNKNOWN_MODEL, g.model());
    }
    boolean readmits = c.in().instance().equals(c.out());
    rejection =
        readmits ? checkUsable(c.in(), model.engineKind()) : checkFree(c.in(), model.engineKind());
    if (rejection != null) {
      return rejection;
    }
    InstanceRecord r = tables.instance(c.in().instance());
    if (r == null || !isSameDomain(r, g.zone(), g.domain())) {
      return Rejection.because(
          "instance %s is in another fabric domain or availability zone", c.in().instance());
    }
    List<GroupMember> members = new ArrayList<>(g.members());
    members.set(rank, c.in());
    GroupRecord next = g.withMembers(members, GroupState.LOADING, tables.index, "");
    if (!allMembersUp(next)) {
      next = g.withMembers(members, GroupState.DOWN, tables.index, g.reason());
    }
    tables.putGroup(next);
    emit(
        EventCode.GROUP_MEMBER_REPLACED,
        c.group(),
        Map.of("out", c.out(), "in", c.in().instance()));
    return null;
  }

  @Nullable Rejection drain(DrainGroup c) {
    GroupRecord g = tables.group(c.group());
    Rejection rejection = checkEpoch(g, c.group(), c.epoch());
    if (rejection != null || g == null) {
      return rejection;
    }
    if (g.state() != GroupState.DRAINING) {
      drain(g, c.reason());
    }
    return null;
  }

  private void drain(GroupRecord g, String reason) {
    tables.putGroup(g.withState(GroupState.DRAINING, tables.index, reason));
    emit(EventCode.GROUP_DRAINING, g.group(), Map.of("reason", reason));
  }

  @Nullable Rejection dissolve(DissolveGroup c) {
    GroupRecord g = tables.group(c.group());
    Rejection rejection = checkEpoch(g, c.group(), c.epoch());
    if (rejection != null || g == null) {
      return rejection;
    }
    if (g.state() == GroupState.READY) {
      return Rejection.because("group %s is ready; drain it before dissolving it", c.group());
    }
    tables.removeGroup(c.group());
    emit(EventCode.GROUP_DISSOLVED, c.group(), Map.of("reason", c.reason()));
    return null;
  }

  private @Nullable Rejection checkEpoch(@Nullable GroupRecord g, String name, long epoch) {
    if (g == null) {
      return Rejection.because("group %s does not exist", name);
    }
    if (g.epoch() != epoch) {
      return Rejection.because("group %s has epoch %d, not %d", name, g.epoch(), epoch);
    }
    return null;
  }

  /** Marks the group of an instance as down if the instance can no longer serve in it. */
  void instanceChanged(InstanceRecord r, String reason) {
    String name = tables.groupOf(r.instance());
    GroupRecord g = name == null ? null : tables.group(name);
    if (g == null || g.state() == GroupState.DRAINING || g.state() == GroupState.DOWN) {
      return;
    }
    GroupMember m = g.members().get(g.rankOf(r.instance()));
    if (InvariantCheck.canServe(g, m, r)) {
      return;
    }
    tables.putGroup(g.withState(GroupState.DOWN, tables.index, reason));
    emit(EventCode.GROUP_DOWN, g.group(), Map.of("instance", r.instance(), "reason", reason));
  }

  /**
   * Drains the groups of a zone that is taken out of service, or resumes the groups that were
   * drained for this reason.
   */
  void zoneChanged(String zone, boolean out) {
    for (GroupRecord g : List.copyOf(tables.groups().values())) {
      if (!g.zone().equals(zone)) {
        continue;
      }
      if (out && g.state() != GroupState.DRAINING) {
        drain(g, GroupRecord.ZONE_OUT);
      } else if (!out && g.reason().equals(GroupRecord.ZONE_OUT)) {
        GroupState next = allMembersUp(g) ? GroupState.LOADING : GroupState.DOWN;
        tables.putGroup(g.withState(next, tables.index, ""));
      }
    }
  }

  private void emit(EventCode code, String group, Map<String, String> fields) {
    events.emit(code, "group/" + group, fields);
  }
}
