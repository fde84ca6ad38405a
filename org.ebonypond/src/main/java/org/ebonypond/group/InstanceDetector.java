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
 * Turns announcements and their absence into registry commands. Soft state of the leader; call
 * {@link #elected} when leadership starts. Not thread-safe.
 */
public final class InstanceDetector {
  /** Four announcements at the interval of 500 ms are missing. */
  public static final long DETECTION_MILLIS = 2_000;

  /** A longer gap between ticks means that this process was frozen and missed announcements. */
  static final long MAX_TICK_GAP_MILLIS = 1_000;

  /** Keeps the registry small: 3,200 instances are replaced per day. */
  static final long REMOVE_AFTER_MILLIS = 3_600_000;

  private static final long PENDING_MILLIS = 3_000;

  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Long> downSince = new HashMap<>();
  private final PendingProposals pending = new PendingProposals(PENDING_MILLIS);
  private long baseline = Long.MIN_VALUE / 2;
  private long lastTick = Long.MIN_VALUE / 2;

  private Map<String, InstanceRecord> registry = Map.of();

  private record Heard(InstanceAnnouncement announcement, long at) {}

  /**
   * Starts anew: every instance gets a full detection time from now.
   *
   * @param now the time in milliseconds
   */
  public void elected(long now) {
    heard.clear();
    downSince.clear();
    pending.clear();
    baseline = now;
    lastTick = now;
  }

  /**
   * Takes an announcement.
   *
   * @param a the announcement
   * @param now the time of its arrival in milliseconds
   */
  public void announced(InstanceAnnouncement a, long now) {
    InstanceRecord r = registry.get(a.instance());
    if (r != null && r.previousBoots().contains(a.boot())) {
      return; // sent late by a boot that was replaced; must not hide the current boot
    }
    heard.put(a.instance(), new Heard(a, now));
  }

  /** States that the result of a proposal is known. */
  public void resolved(ControlCommand c) {
    pending.resolved(c);
  }

  /**
   * Returns the commands that the announcements so far call for.
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
    for (Heard h : heard.values()) {
      present(h, view.instances().get(h.announcement().instance()), now, out);
    }
    for (InstanceRecord r : view.instances().values()) {
      absent(r, now, out);
    }
    downSince.keySet().removeIf(name -> !view.instances().containsKey(name));
    heard.values().removeIf(h -> now - h.at() > REMOVE_AFTER_MILLIS);
    // Map order differs between processes; a run must depend on its seed alone.
    out.sort(Comparator.comparing(p -> p.command().toString()));
    return out;
  }

  private void present(Heard h, @Nullable InstanceRecord r, long now, List<Proposal> out) {
    InstanceAnnouncement a = h.announcement();
    if (now - h.at() >= DETECTION_MILLIS || (r != null && r.previousBoots().contains(a.boot()))) {
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

  private void absent(InstanceRecord r, long now, List<Proposal> out) {
    if (r.status() == InstanceStatus.DOWN) {
      long since = downSince.computeIfAbsent(r.instance(), k -> now);
      if (now - since >= REMOVE_AFTER_MILLIS) {
        propose(new RemoveInstance(r.instance(), r.boot()), "down for long", now, out);
      }
      return;
    }
    downSince.remove(r.instance());
    Heard h = heard.get(r.instance());
    boolean current = h != null && !r.previousBoots().contains(h.announcement().boot());
    long last = current && h != null ? h.at() : Long.MIN_VALUE / 2;
    if (isSilent(last, now)) {
      propose(new InstanceDown(r.instance(), r.boot(), "no-announcements"), "silent", now, out);
    }
  }

  private boolean isSilent(long heardAt, long now) {
    return now - Math.max(heardAt, baseline) >= DETECTION_MILLIS;
  }

  private void propose(ControlCommand c, String reason, long now, List<Proposal> out) {
    if (pending.add(c, now)) {
      out.add(new Proposal(c, reason));
    }
  }
}
