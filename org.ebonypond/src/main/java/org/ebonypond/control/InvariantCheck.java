package org.ebonypond.control;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Checks the invariants of the control state. */
final class InvariantCheck {
  private InvariantCheck() {}

  /**
   * Checks the groups and instances that the current command touched.
   *
   * @throws EbonypondException {@code invariant-violated}
   */
  static void checkTouched(ControlTables tables) {
    tables.touchedGroups().forEach(name -> checkGroup(tables, name));
    tables.touchedInstances().forEach(name -> checkInstance(tables, name));
  }

  /**
   * Checks every group and instance.
   *
   * @throws EbonypondException {@code invariant-violated}
   */
  static void checkAll(ControlTables tables) {
    tables.groups().keySet().forEach(name -> checkGroup(tables, name));
    tables.instances().keySet().forEach(name -> checkInstance(tables, name));
  }

  private static void checkInstance(ControlTables tables, String name) {
    String group = tables.groupOf(name);
    if (group == null) {
      return;
    }
    check(tables.instance(name) != null, "group %s has unregistered member %s", group, name);
    GroupRecord g = tables.group(group);
    check(g != null && g.hasMember(name), "instance %s is not in group %s", name, group);
    checkGroup(tables, group);
  }

  private static void checkGroup(ControlTables tables, String name) {
    GroupRecord g = tables.group(name);
    if (g == null) {
      return;
    }
    check(!g.members().isEmpty(), "group %s has no members", name);
    check(g.epoch() <= tables.index, "the epoch of group %s is greater than the log index", name);
    for (GroupMember m : g.members()) {
      String owner = tables.groupOf(m.instance());
      check(name.equals(owner), "instance %s is in groups %s and %s", m.instance(), name, owner);
      InstanceRecord r = tables.instance(m.instance());
      check(r != null, "group %s has unregistered member %s", name, m.instance());
      check(
          g.state() != GroupState.READY || canServe(g, m, r),
          "group %s is ready while member %s is missing",
          name,
          m.instance());
    }
    check(
        g.state() != GroupState.READY || !tables.zonesOut.contains(g.zone()),
        "group %s is ready while zone %s is out of service",
        name,
        g.zone());
  }

  /**
   * Returns whether a member is up or leaving, with the boot, zone and domain with which it joined.
   */
  static boolean canServe(GroupRecord g, GroupMember m, InstanceRecord r) {
    return r.status() != InstanceStatus.DOWN
        && r.boot().equals(m.boot())
        && r.zone().equals(g.zone())
        && r.domain().equals(g.domain());
  }

  private static void check(boolean holds, String pattern, Object... arguments) {
    if (!holds) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, String.format(pattern, arguments));
    }
  }
}
