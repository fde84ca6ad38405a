package org.ebonypond.control;

import java.util.List;
import java.util.Map;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlCommand.InstanceLeaving;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlCommand.RemoveInstance;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * The rules for the instance registry. Each rule returns null if the command was applied, or why it
 * was rejected.
 */
final class InstanceRules {
  private final ControlTables tables;
  private final GroupRules groups;
  private final EventSink events;

  InstanceRules(ControlTables tables, GroupRules groups, EventSink events) {
    this.tables = tables;
    this.groups = groups;
    this.events = events;
  }

  @Nullable Rejection register(RegisterInstance c) {
    if (c.instance().isEmpty() || c.boot().isEmpty() || c.zone().isEmpty()) {
      return Rejection.because("an instance needs a name, a boot identity and a zone");
    }
    InstanceRecord old = tables.instance(c.instance());
    if (old != null && old.status() == InstanceStatus.UP && isUnchanged(old, c)) {
      return null;
    }
    if (old != null && old.status() == InstanceStatus.LEAVING && old.boot().equals(c.boot())) {
      return Rejection.because("boot %s of instance %s is leaving", c.boot(), c.instance());
    }
    if (old != null && old.previousBoots().contains(c.boot())) {
      return Rejection.because("boot %s of instance %s was replaced", c.boot(), c.instance());
    }
    InstanceRecord next =
        new InstanceRecord(
            c.instance(),
            c.boot(),
            c.address(),
            c.zone(),
            c.domain(),
            c.kind(),
            c.flavor(),
            InstanceStatus.UP,
            tables.index,
            old == null ? 0 : old.releasedIndex(),
            old == null ? List.of() : old.bootsReplacedBy(c.boot()));
    tables.putInstance(next);
    events.emit(
        EventCode.INSTANCE_REGISTERED,
        "instance/" + c.instance(),
        Map.of("boot", c.boot(), "zone", c.zone()));
    groups.instanceChanged(next, "instance-restarted");
    return null;
  }

  private static boolean isUnchanged(InstanceRecord r, RegisterInstance c) {
    return r.boot().equals(c.boot())
        && r.address().equals(c.address())
        && r.zone().equals(c.zone())
        && r.domain().equals(c.domain())
        && r.kind() == c.kind()
        && r.flavor().equals(c.flavor());
  }

  @Nullable Rejection down(InstanceDown c) {
    InstanceRecord r = tables.instance(c.instance());
    Rejection rejection = checkBoot(r, c.instance(), c.boot());
    if (rejection != null || r == null || r.status() == InstanceStatus.DOWN) {
      return rejection;
    }
    InstanceRecord next = r.withStatus(InstanceStatus.DOWN);
    tables.putInstance(next);
    events.emit(EventCode.INSTANCE_DOWN, "instance/" + c.instance(), Map.of("reason", c.reason()));
    groups.instanceChanged(next, c.reason());
    return null;
  }

  @Nullable Rejection leaving(InstanceLeaving c) {
    InstanceRecord r = tables.instance(c.instance());
    Rejection rejection = checkBoot(r, c.instance(), c.boot());
    if (rejection != null || r == null || r.status() == InstanceStatus.LEAVING) {
      return rejection;
    }
    if (r.status() == InstanceStatus.DOWN) {
      return Rejection.because("instance %s is down", c.instance());
    }
    tables.putInstance(r.withStatus(InstanceStatus.LEAVING));
    events.emit(EventCode.INSTANCE_LEAVING, "instance/" + c.instance());
    return null;
  }

  @Nullable Rejection remove(RemoveInstance c) {
    InstanceRecord r = tables.instance(c.instance());
    Rejection rejection = checkBoot(r, c.instance(), c.boot());
    if (rejection != null || r == null) {
      return rejection;
    }
    if (r.status() != InstanceStatus.DOWN || tables.groupOf(c.instance()) != null) {
      return Rejection.because("instance %s is not down or is in a group", c.instance());
    }
    tables.removeInstance(c.instance());
    return null;
  }

  private static @Nullable Rejection checkBoot(
      @Nullable InstanceRecord r, String instance, String boot) {
    if (r == null) {
      return Rejection.because("instance %s is not registered", instance);
    }
    if (!r.boot().equals(boot)) {
      return Rejection.because("instance %s has boot %s, not %s", instance, r.boot(), boot);
    }
    return null;
  }
}
