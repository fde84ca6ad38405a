package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlCommand.InstanceLeaving;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlCommand.RemoveInstance;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.jspecify.annotations.Nullable;

/**
 * Detects registrations, departures and failures of instances from their announcements, and
 * proposes the registry commands. Soft state of the leader; call {@link #elected} when leadership
 * starts. Not thread-safe.
 */
public final class InstanceDetector {
  /** Four announcements at an interval of 500 ms were missed. */
  public static final long DETECTION_MILLIS = 2_000;

  /** A longer gap between ticks means that this process was frozen and missed announcements. */
  static final long MAX_TICK_GAP_MILLIS = 1_000;

  /** Bounds the registry: 3,200 instances are replaced per day. */
  static final long REMOVE_AFTER_MILLIS = 3_600_000;

  private static final long PROPOSAL_TIMEOUT_MILLIS = 3_000;

  private final Map<String, Received> lastReceived = new HashMap<>();
  private final Map<String, Long> downSince = new HashMap<>();
  private final PendingProposals pending = new PendingProposals(PROPOSAL_TIMEOUT_MILLIS);

  /** Silence before this time does not count, because announcements may have been missed. */
  private long baseline = Long.MIN_VALUE / 2;

  private long lastTick = Long.MIN_VALUE / 2;

  private Map<String, InstanceRecord> registry = Map.of();

  private record Received(InstanceAnnouncement announcement, long at) {}

  /**
   * Resets the state at the start of a term. Every instance gets a full detection time from now.
   *
   * @param now the time in milliseconds
   */
  public void elected(long now) {
    lastReceived.clear();
    downSince.clear();
    pending.clear();
    baseline = now;
    lastTick = now;
  }

  /**
   * Records an announcement.
   *
   * @param a the announcement; ignored if its boot was replaced
   * @param now the time at which it arrived, in milliseconds
   */
  public void announced(InstanceAnnouncement a, long now) {
    InstanceRecord r = registry.get(a.instance());
    if (r != null && r.previousBoots().contains(a.boot())) {
      return; // late announcement of a replaced boot; must not overwrite the current one
    }
    lastReceived.put(a.instance(), new Received(a, now));
  }

  /** Reports that the result of a proposal is known. */
  public void resolved(ControlCommand c) {
    pending.resolved(c);
  }

  /**
   * Returns the commands to propose for the announcements received so far.
   *
   * @param view the current view
   * @param now the time in milliseconds; call at least every 500 ms
   */
  public List<Proposal> tick(ControlView view, long now) {
    if (now - lastTick > MAX_TICK_GAP_MILLIS) {
      baseline = now;
    }
    lastTick = now;
    registry = view.instances();
    pending.expire(now);
    List<Proposal> out = new ArrayList<>();
    for (Received received : lastReceived.values()) {
      handleAnnounced(received, view.instances().get(received.announcement().instance()), now, out);
    }
    for (InstanceRecord r : view.instances().values()) {
      handleRegistered(r, now, out);
    }
    downSince.keySet().removeIf(name -> !view.instances().containsKey(name));
    lastReceived.values().removeIf(h -> now - h.at() > REMOVE_AFTER_MILLIS);
    // The map order differs between processes; a run must depend only on its seed.
    out.sort(Comparator.comparing(p -> p.command().toString()));
    return out;
  }

  private void handleAnnounced(
      Received received, @Nullable InstanceRecord r, long now, List<Proposal> out) {
    InstanceAnnouncement a = received.announcement();
    if (now - received.at() >= DETECTION_MILLIS
        || (r != null && r.previousBoots().contains(a.boot()))) {
      return;
    }
    boolean leaving = a.status() == EngineStatus.LEAVING;
    boolean current = r != null && r.boot().equals(a.boot());
    if (r != null && current && leaving && r.status() == InstanceStatus.UP) {
      propose(new InstanceLeaving(a.instance(), a.boot()), "announced leaving", now, out);
      return;
    }
    if (leaving || (current && r != null && r.status() == InstanceStatus.LEAVING)) {
      return;
    }
    if (r != null && r.status() == InstanceStatus.UP && matches(r, a)) {
      return;
    }
    String reason = current ? "announced again" : "new boot";
    propose(
        new RegisterInstance(
            a.instance(), a.boot(), a.address(), a.zone(), a.domain(), a.kind(), a.flavor()),
        reason,
        now,
        out);
  }

  private static boolean matches(InstanceRecord r, InstanceAnnouncement a) {
    return r.boot().equals(a.boot())
        && r.address().equals(a.address())
        && r.zone().equals(a.zone())
        && r.domain().equals(a.domain())
        && r.kind() == a.kind()
        && r.flavor().equals(a.flavor());
  }

  private void handleRegistered(InstanceRecord r, long now, List<Proposal> out) {
    if (r.status() == InstanceStatus.DOWN) {
      long since = downSince.computeIfAbsent(r.instance(), k -> now);
      if (now - since >= REMOVE_AFTER_MILLIS) {
        propose(new RemoveInstance(r.instance(), r.boot()), "down for long", now, out);
      }
      return;
    }
    downSince.remove(r.instance());
    Received received = lastReceived.get(r.instance());
    boolean current =
        received != null && !r.previousBoots().contains(received.announcement().boot());
    long receivedAt = current && received != null ? received.at() : Long.MIN_VALUE / 2;
    if (isSilent(receivedAt, now)) {
      propose(new InstanceDown(r.instance(), r.boot(), "no-announcements"), "silent", now, out);
    }
  }

  private boolean isSilent(long receivedAt, long now) {
    return now - Math.max(receivedAt, baseline) >= DETECTION_MILLIS;
  }

  private void propose(ControlCommand c, String reason, long now, List<Proposal> out) {
    if (pending.add(c, now)) {
      out.add(new Proposal(c, reason));
    }
  }
}
