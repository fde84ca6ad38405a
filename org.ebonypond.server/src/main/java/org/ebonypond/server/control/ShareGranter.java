package org.ebonypond.server.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.lease.CeilingRamp;
import org.ebonypond.lease.ShareAllocator;
import org.ebonypond.lease.ShareGrant;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;
import org.jspecify.annotations.Nullable;

/**
 * Grants shares of the ceilings of starting backend servers on the control leader: keeps the
 * targets of the allocator consistent with the view. Not thread-safe.
 */
final class ShareGranter {
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ReadinessTracker readiness = new ReadinessTracker();
  private final Map<ShareTarget, Long> knownAtElection = new HashMap<>();
  private final Set<String> targetNames = new HashSet<>();
  private @Nullable ShareAllocator allocator;

  /** Handles a new control view; called on every replica, whether or not it is the leader. */
  void onView(ControlView v, long now) {
    readiness.onView(v, now);
  }

  /** Starts a term of this replica as the leader. */
  void elected(long term, long now) {
    allocator = new ShareAllocator(term, now);
    targetNames.clear();
    knownAtElection.clear();
    knownAtElection.putAll(readiness.upSince());
  }

  /** Ends the leadership of this replica. */
  void ended() {
    allocator = null;
  }

  /** Updates the targets from the leader's current view. */
  void update(ControlView v, long now) {
    readiness.onView(v, now);
    ShareAllocator a = allocator;
    ServiceDocument d = v.document();
    if (a == null || d == null) {
      return;
    }
    Map<ShareTarget, CeilingRamp> present = new HashMap<>();
    Map<ShareTarget, Long> upSince = readiness.upSince();
    for (GroupRecord g : v.groups().values()) {
      ShareTarget t = ShareTargets.of(g);
      d.model(g.model())
          .ifPresent(
              m -> add(present, t, m.coldCeiling(), m.maxConcurrency(), m.warmSeconds(), upSince));
    }
    for (InstanceRecord i : v.instances().values()) {
      ShareTarget t = ShareTargets.of(i);
      d.service(i.flavor())
          .ifPresent(
              s -> add(present, t, s.coldCeiling(), s.maxConcurrency(), s.warmSeconds(), upSince));
    }
    present.forEach((t, ramp) -> a.addTarget(t, ramp, !knownAtElection.containsKey(t)));
    present.keySet().forEach(t -> targetNames.remove(t.name()));
    targetNames.forEach(absent -> a.removeTarget(absent, now));
    targetNames.clear();
    present.keySet().forEach(t -> targetNames.add(t.name()));
    a.lapse(now);
  }

  private static void add(
      Map<ShareTarget, CeilingRamp> present,
      ShareTarget t,
      int coldCeiling,
      int maxConcurrency,
      int warmSeconds,
      Map<ShareTarget, Long> upSince) {
    Long readyMillis = upSince.get(t);
    if (readyMillis != null) {
      long warmMillis = warmSeconds * MILLIS_PER_SECOND;
      present.put(t, new CeilingRamp(coldCeiling, maxConcurrency, warmMillis, readyMillis));
    }
  }

  /** Records the load that an announcement reported. */
  void announced(ControlView v, InstanceAnnouncement a, ReportedLoad load, long now) {
    ShareAllocator s = allocator;
    ShareTarget t = targetOf(v, a);
    if (s != null && t != null && a.status() != EngineStatus.LOADING) {
      s.onLoad(t, now - load.ageMillis(), load.active() + load.waiting());
    }
  }

  /** Returns the target whose requests an announced instance runs, or null if it runs none. */
  private static @Nullable ShareTarget targetOf(ControlView v, InstanceAnnouncement a) {
    InstanceRecord i = v.instances().get(a.instance());
    if (i == null || !i.boot().equals(a.boot())) {
      return null;
    }
    GroupRecord g = a.group().isEmpty() ? null : v.groups().get(a.group());
    if (g == null) {
      return ShareTargets.of(i);
    }
    boolean first = g.members().get(0).instance().equals(a.instance());
    return first ? ShareTargets.of(g) : null;
  }

  /**
   * Returns the reply to a request for shares.
   *
   * @throws EbonypondException {@code not-leader} if this replica is not the leader, or {@code
   *     command-rejected} if a later request of the holder has already been handled
   */
  ShareGrant onRequest(ShareRequest r, long now) {
    ShareAllocator a = allocator;
    if (a == null) {
      throw new EbonypondException(ErrorCode.NOT_LEADER, "unknown");
    }
    List<ShareGrant> grants = a.onRequest(r, now);
    if (grants.isEmpty()) {
      throw new EbonypondException(
          ErrorCode.COMMAND_REJECTED, "a later share request was handled before");
    }
    return grants.get(0);
  }
}
