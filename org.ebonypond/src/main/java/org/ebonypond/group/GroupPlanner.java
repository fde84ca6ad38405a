package org.ebonypond.group;

import java.util.List;
import java.util.Map;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.DissolveGroup;
import org.ebonypond.control.ControlCommand.DrainGroup;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.events.EventSink;

/**
 * Proposes the commands that reconcile the groups with the service document. Soft state of the
 * leader; call {@link #elected} when leadership starts. Not thread-safe.
 */
public final class GroupPlanner {
  private static final long PROPOSAL_TIMEOUT_MILLIS = 5_000;

  /**
   * The interval between plans while the view does not change, for conditions that depend on time.
   */
  private static final long REPLAN_MILLIS = 250;

  /**
   * The same interval while no such condition is pending; a plan of 80,000 instances takes tens of
   * milliseconds.
   */
  private static final long IDLE_REPLAN_MILLIS = 10_000;

  private final GroupClock clock = new GroupClock();
  private final PendingProposals pending = new PendingProposals(PROPOSAL_TIMEOUT_MILLIS);
  private final FlapTracker flaps;
  private final DrainPhase drains;
  private final RepairPhase repairs;
  private final PlacementPhase placements;
  private final MovePhase moves;
  private long sequence;
  private long plannedIndex = -1;
  private long plannedAt;
  private boolean idle;

  /**
   * Creates a planner.
   *
   * @param policy chooses fabric domains and repairs
   * @param settings timeouts and limits
   * @param events receives {@code GROUP_NOT_PLACED}
   */
  public GroupPlanner(PlacementPolicy policy, PlannerSettings settings, EventSink events) {
    this.flaps = new FlapTracker(settings);
    this.drains = new DrainPhase(settings, clock);
    this.repairs = new RepairPhase(policy, settings, clock);
    this.placements = new PlacementPhase(policy, events);
    this.moves = new MovePhase(policy, settings, clock);
  }

  /** Resets the soft state at the start of a term. */
  public void elected() {
    pending.clear();
    clock.clear();
    sequence = 0;
    plannedIndex = -1;
  }

  /** Reports that the result of a proposal is known. */
  public void resolved(ControlCommand c) {
    pending.resolved(c);
  }

  /**
   * Computes a plan. A change whose earlier proposal is still pending is not proposed again.
   *
   * @param view the current view
   * @param observations the last observation of each instance, by name
   * @param now the time in milliseconds
   * @return the commands to propose, in order
   */
  public List<Proposal> plan(
      ControlView view, Map<String, InstanceObservation> observations, long now) {
    long interval = idle ? IDLE_REPLAN_MILLIS : REPLAN_MILLIS;
    if (view.index() == plannedIndex && now - plannedAt < interval) {
      return List.of();
    }
    plannedIndex = view.index();
    plannedAt = now;
    flaps.observe(view, now);
    clock.retain(view);
    removeSettled(view, now);
    ServiceDocument document = view.document();
    if (document == null) {
      return List.of();
    }
    sequence = Math.max(sequence, view.groupSequence());
    PlanContext c = new PlanContext(view, document, observations, pending, flaps, sequence, now);
    drains.plan(c);
    repairs.plan(c);
    placements.plan(c);
    moves.plan(c);
    sequence = c.sequence();
    idle = c.isIdle() && pending.commands().isEmpty();
    return c.proposals();
  }

  /** Removes the pending proposals that the view shows as applied or as outdated. */
  private void removeSettled(ControlView view, long now) {
    pending.expire(now);
    for (ControlCommand c : List.copyOf(pending.commands())) {
      if (isSettled(view, c)) {
        pending.resolved(c);
      }
    }
  }

  private static boolean isSettled(ControlView view, ControlCommand c) {
    if (c instanceof FormGroup f) {
      String name = f.group();
      long number = Long.parseLong(name.substring(name.lastIndexOf('-') + 1));
      return number <= view.groupSequence();
    }
    if (c instanceof ReplaceMember r) {
      return hasChanged(view, r.group(), r.epoch());
    }
    if (c instanceof DrainGroup d) {
      return hasChanged(view, d.group(), d.epoch());
    }
    return c instanceof DissolveGroup d && hasChanged(view, d.group(), d.epoch());
  }

  private static boolean hasChanged(ControlView view, String group, long epoch) {
    GroupRecord g = view.groups().get(group);
    return g == null || g.epoch() != epoch;
  }
}
