package org.ebonypond.server.control;

import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.lease.ShareTarget;
import org.ebonypond.routing.Target;

/** Creates the share targets of groups and plain service instances, identical in all processes. */
public final class ShareTargets {
  private ShareTargets() {}

  /** Returns the target of a group; a group that lost a member and returned is a new target. */
  public static ShareTarget of(GroupRecord g) {
    return group(g.group(), g.epoch(), g.members().get(0));
  }

  /** Returns the target of a plain service instance. */
  public static ShareTarget of(InstanceRecord i) {
    return new ShareTarget("instance/" + i.instance(), i.boot());
  }

  /** Returns the share target that corresponds to a routing target. */
  public static ShareTarget of(Target t) {
    return switch (t.kind()) {
      case ENGINE -> group(t.name(), t.epoch(), t.members().get(0));
      case SERVICE -> new ShareTarget("instance/" + t.instance(), t.boot());
    };
  }

  private static ShareTarget group(String name, long epoch, GroupMember first) {
    return new ShareTarget("group/" + name, epoch + ":" + first.boot());
  }
}
