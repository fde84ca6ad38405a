package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Records the decisions of the latest round; decides nothing itself. */
final class DecisionRecorder {
  private final List<GroupDecision> decisions = new ArrayList<>();
  private final Map<String, Set<GiveUpReason>> reported = new HashMap<>();
  private final Set<String> held = new HashSet<>();
  private long reportedTerm = -1;

  /** Returns the decisions of the latest round. */
  List<GroupDecision> latest() {
    return List.copyOf(decisions);
  }

  /** Forgets what was known in an earlier term. */
  void startTerm() {
    reported.clear();
    held.clear();
  }

  /** Starts a round. */
  void clear() {
    decisions.clear();
  }

  /** Records the input of a round; called before anything is decided. */
  void observe(PlanningRound round) {
    reported.keySet().retainAll(round.groups.keySet());
    held.retainAll(round.groups.keySet());
    if (reportedTerm != round.state.term) {
      reportedTerm = round.state.term;
      decisions.add(termStarted(round));
    }
  }

  private static GroupDecision termStarted(PlanningRound round) {
    int inGroups = 0;
    List<Long> ages = new ArrayList<>();
    for (FleetInstance i : round.instances.values()) {
      inGroups += i.group() == null ? 0 : 1;
      ages.add(round.ageOf(i));
    }
    ages.sort(null);
    long oldest = ages.isEmpty() ? 0 : ages.get(ages.size() - 1);
    long median = ages.isEmpty() ? 0 : ages.get(ages.size() / 2);
    return new GroupDecision.TermStarted(round.state.term, ages.size(), inGroups, oldest, median);
  }

  /** Records that a group is given up. */
  void givenUp(PlanningRound round, GroupView g, GroupDecision.Cause cause) {
    Set<GiveUpReason> reasons =
        reported.computeIfAbsent(g.key(), k -> EnumSet.noneOf(GiveUpReason.class));
    if (reasons.add(cause.reason())) {
      String head = round.state.heads.getOrDefault(g.key(), "");
      decisions.add(
          new GroupDecision.GivenUp(g.name, g.epoch, headOf(round, g.name, g.epoch, head), cause));
    }
  }

  /** Records that an instance has joined a group again that it had left. */
  void returned(FleetInstance i, LastGroup g, LateOrders late, long now) {
    decisions.add(
        new GroupDecision.Returned(
            i.id(),
            g.name,
            g.epoch,
            now - g.leftAt(),
            late.unansweredMillis(FleetOrder.Kind.JOIN, i.id(), g.name, g.epoch, now),
            late.unansweredMillis(FleetOrder.Kind.OPEN, i.id(), g.name, g.epoch, now)));
  }

  /** Records that a group keeps its members until its head executes no late orders any more. */
  void held(PlanningRound round, GroupView g, LateOrders late) {
    if (held.add(g.key())) {
      String head = round.state.heads.getOrDefault(g.key(), "");
      decisions.add(
          new GroupDecision.Held(
              g.name,
              g.epoch,
              headOf(round, g.name, g.epoch, head),
              late.unansweredMillis(FleetOrder.Kind.JOIN, head, g.name, g.epoch, round.now),
              late.unansweredMillis(FleetOrder.Kind.OPEN, head, g.name, g.epoch, round.now),
              late.reopenableUntil(head, g.name, g.epoch) - round.now));
    }
  }

  /** Records that a free instance is to join a new group. */
  void taken(PlanningRound round, PlannedGroup p, FleetInstance i) {
    LastGroup old = round.state.lastGroups.of(i.id());
    FreeEvidence evidence = evidence(round, i, old);
    PlannerState.LeaveAnswer answer =
        evidence == FreeEvidence.HEAD_ANSWERED_LEAVE && old != null
            ? round.state.confirmedLeft.get(old.head)
            : null;
    decisions.add(
        new GroupDecision.Taken(
            i.id(),
            round.ageOf(i),
            p.name(),
            p.epoch(),
            old == null ? "" : old.name,
            old == null ? 0 : old.epoch,
            old == null ? -1 : round.now - old.lastReported,
            old == null ? headOf(round, "", 0, "") : headOf(round, old.name, old.epoch, old.head),
            evidence,
            answer == null ? waited(round, i, old, evidence) : round.now - answer.at(),
            answer == null ? null : answer.outcome()));
  }

  /** Names the rule by which {@link MemberRelease#isFree} holds for an instance. */
  private static FreeEvidence evidence(
      PlanningRound round, FleetInstance i, @Nullable LastGroup old) {
    if (old != null && old.hasLeft()) {
      return evidence(round, old);
    }
    GroupMembership g = i.group();
    if (g != null) {
      return evidence(round, i, g);
    }
    return round.state.first || MemberRelease.isNew(i)
        ? FreeEvidence.NEVER_IN_GROUP
        : FreeEvidence.WAITED_IN_TERM;
  }

  private static FreeEvidence evidence(PlanningRound round, LastGroup old) {
    if (!round.release.isReleased(old)) {
      return FreeEvidence.WAITED_AFTER_LEAVE;
    }
    if (round.state.hasConfirmedLeft(old.head, old.key())) {
      return FreeEvidence.HEAD_ANSWERED_LEAVE;
    }
    FleetInstance h = round.instances.get(old.head);
    GroupMembership g = h == null ? null : h.group();
    if (g == null || !GroupView.key(g.name(), g.epoch()).equals(old.key())) {
      return FreeEvidence.HEAD_REPORTED_LEFT;
    }
    return g.state() == MemberState.BROKEN
        ? FreeEvidence.HEAD_BROKEN
        : FreeEvidence.HEAD_ANSWERED_CLOSE;
  }

  private static FreeEvidence evidence(PlanningRound round, FleetInstance i, GroupMembership g) {
    if (GroupName.of(g) == null) {
      return FreeEvidence.FOREIGN_GROUP;
    }
    String key = GroupView.key(g.name(), g.epoch());
    GroupView view = round.groups.get(key);
    FleetInstance member = view == null ? null : view.members.get(g.rank());
    if (view == null || member == null || !member.id().equals(i.id())) {
      return FreeEvidence.PLACE_TAKEN;
    }
    if (round.release.hasHeadLeft(view)) {
      return round.release.hasHeadAnsweredLeave(view)
          ? FreeEvidence.HEAD_ANSWERED_LEAVE
          : FreeEvidence.HEAD_REPORTED_LEFT;
    }
    if (view.headState() == MemberState.BROKEN) {
      return FreeEvidence.HEAD_BROKEN;
    }
    return round.release.isClosedForGood(view)
        ? FreeEvidence.HEAD_ANSWERED_CLOSE
        : FreeEvidence.NEVER_OPENED;
  }

  private static long waited(
      PlanningRound round, FleetInstance i, @Nullable LastGroup old, FreeEvidence evidence) {
    return switch (evidence) {
      case WAITED_AFTER_LEAVE -> old == null ? -1 : round.release.waitedMillis(old);
      case WAITED_IN_TERM -> round.release.unknownGroupMillis(i);
      default -> -1;
    };
  }

  private static GroupDecision.Head headOf(
      PlanningRound round, String name, long epoch, String id) {
    FleetInstance h = round.instances.get(id);
    if (h == null) {
      return new GroupDecision.Head(id, "UNKNOWN", -1);
    }
    GroupMembership g = h.group();
    String state = "LEFT";
    if (h.phase() == InstancePhase.GONE) {
      state = "GONE";
    } else if (g != null && g.epoch() == epoch && g.name().equals(name)) {
      state = g.state().name();
    }
    return new GroupDecision.Head(id, state, round.ageOf(h));
  }
}
