package org.ebonypond.fleet;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides in one planning round which instances may join another group: those whose old group
 * cannot serve any more.
 */
final class MemberRelease {
  /** In so few heartbeats an instance does not report that it joins, is ready and leaves again. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  private final PlanningRound round;
  private final PlannerState state;
  private final LateOrders lateOrders;

  MemberRelease(PlanningRound round, LateOrders lateOrders) {
    this.round = round;
    this.state = round.state;
    this.lateOrders = lateOrders;
  }

  /**
   * Returns whether the old group of an instance cannot serve any more; the groups of the round
   * must have been reviewed.
   */
  boolean isFree(FleetInstance i) {
    if (mayRejoinServingGroup(i)) {
      return false;
    }
    LastGroup last = state.lastGroups.of(i.id());
    if (last != null && last.hasLeft()) {
      return isReleased(last) || hasWaitedSince(last);
    }
    GroupMembership g = i.group();
    if (g != null) {
      return !isInServingGroup(i, g);
    }
    return state.first || isNew(i) || hasWaitedSinceUnknownGroup(i);
  }

  /**
   * Returns whether an instance that has left a group, or has restarted since, may join it again by
   * an unanswered order while the head still serves. The head would then not miss it any more.
   */
  private boolean mayRejoinServingGroup(FleetInstance i) {
    for (SentOrders.UnansweredOrder u : round.unansweredJoins.getOrDefault(i.id(), List.of())) {
      FleetOrder o = u.order();
      GroupMembership g = i.group();
      boolean isOutside = g == null || g.epoch() < o.epoch();
      boolean wasLate = round.lastHeartbeatSentAt(i) >= u.at() + PlannerState.LATE_ORDER_MILLIS;
      String head = o.members().get(0);
      if (isOutside
          && !wasLate
          && !head.equals(i.id())
          && state.sentOrders.wasSentTo(FleetOrder.Kind.OPEN, head, o.group(), o.epoch())
          && !isReleased(head, o.group(), o.epoch())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether an instance that was free when its group was planned may still join it; whether
   * it counts as new may have changed since.
   */
  boolean mayStillJoin(FleetInstance i) {
    LastGroup last = state.lastGroups.of(i.id());
    boolean wasInNone = i.group() == null && (last == null || !last.hasLeft());
    return wasInNone || isFree(i);
  }

  /**
   * Returns whether the head of a group may serve, now or once a delayed order arrives. A head that
   * does not report, because it has deregistered or was not heard of for long, may serve unless
   * this leader formed the group and never opened it.
   */
  boolean mayServe(GroupView g) {
    MemberState status = g.headState();
    if (status == MemberState.BROKEN) {
      return mayReopen(state.heads.get(g.key()), g.name, g.epoch);
    }
    if (isClosedForGood(g)) {
      return false;
    }
    boolean mayHaveOpened =
        status == MemberState.OPEN
            || status == MemberState.CLOSING
            || state.sentOrders.wasSent(FleetOrder.Kind.OPEN, g.name, g.epoch);
    boolean wasFormedInTerm = state.sentOrders.wasSent(FleetOrder.Kind.JOIN, g.name, g.epoch);
    // An order of an earlier leader may still reach a head that has reported that it does not
    // serve.
    boolean mayOpenLate = round.now - state.termStart < PlannerState.KEEP_ORDERS_MILLIS;
    return mayHaveOpened || (!wasFormedInTerm && (status == null || mayOpenLate));
  }

  /** Returns whether a group cannot serve any more, so that its members are free. */
  boolean isEnded(GroupView g) {
    return hasHeadLeft(g) ? !mayReopen(state.heads.get(g.key()), g.name, g.epoch) : !mayServe(g);
  }

  /**
   * Returns whether a head that has left a group, or reports it as broken, may join and open it
   * again by orders that it did not answer.
   */
  private boolean mayReopen(String head, String group, long epoch) {
    long until = lateOrders.reopenableUntil(head, group, epoch);
    return until != LateOrders.NEVER && lastOutside(head, group, epoch) < until;
  }

  /**
   * Returns the latest time at which a head is known not to have been in a sound group, in
   * milliseconds. An instance that has joined a later group rejects orders to join an earlier one.
   */
  private long lastOutside(String head, String group, long epoch) {
    String key = GroupView.key(group, epoch);
    LastGroup last = state.lastGroups.of(head);
    Long confirmed = last != null && last.key().equals(key) ? last.confirmedOrderAt : null;
    long at = confirmed == null ? Long.MIN_VALUE : confirmed;
    FleetInstance h = round.instances.get(head);
    if (h == null || h.phase() == InstancePhase.GONE) {
      return at;
    }
    GroupMembership g = h.group();
    if (g != null && g.epoch() > epoch) {
      return Long.MAX_VALUE;
    }
    if (isBrokenIn(g, key) && lateOrders.isOfEarlierTerm(epoch)) {
      // It would have to execute three orders of earlier leaders: to leave, to join and to open.
      return Long.MAX_VALUE;
    }
    return isSoundIn(g, key) ? at : Math.max(at, round.lastHeartbeatSentAt(h));
  }

  private static boolean isSoundIn(@Nullable GroupMembership g, String key) {
    return isIn(g, key) && g.state() != MemberState.BROKEN;
  }

  private static boolean isBrokenIn(@Nullable GroupMembership g, String key) {
    return isIn(g, key) && g.state() == MemberState.BROKEN;
  }

  private static boolean isIn(@Nullable GroupMembership g, String key) {
    return g != null && GroupView.key(g.name(), g.epoch()).equals(key);
  }

  /**
   * Returns whether a head that reports that it does not serve has confirmed this after the last
   * time at which an order to open the group could take effect.
   */
  private boolean isClosedForGood(@Nullable FleetInstance h, String group, long epoch) {
    GroupMembership g = h == null ? null : h.group();
    Long closedAt = state.closedAt.get(GroupView.key(group, epoch));
    return g != null
        && closedAt != null
        && isSoundIn(g, GroupView.key(group, epoch))
        && g.state() != MemberState.OPEN
        && g.state() != MemberState.CLOSING
        && closedAt >= openedBy(h.id(), group, epoch);
  }

  /** Returns whether no order can open a group any more that its head has confirmed as closed. */
  boolean isClosedForGood(GroupView g) {
    return isClosedForGood(g.head(), g.name, g.epoch);
  }

  /** Returns by when the orders to open a group must have taken effect, in milliseconds. */
  long openedBy(String head, String group, long epoch) {
    long until = lateOrders.openableUntil(head, group, epoch);
    Long accepted = state.sentOrders.lastAccepted(FleetOrder.Kind.OPEN, head, group, epoch);
    long last = accepted == null ? until : Math.max(until, accepted);
    return last == LateOrders.NEVER ? last : last + round.engine.openMillis();
  }

  /** Returns whether the head has left the group, by its own report or its answer to the order. */
  boolean hasHeadLeft(GroupView g) {
    String id = state.heads.get(g.key());
    if (id == null) {
      return false;
    }
    if (hasHeadAnsweredLeave(g)) {
      return true;
    }
    FleetInstance h = round.instances.get(id);
    // A deregistered instance may continue to serve for a while.
    return h != null && h.phase() != InstancePhase.GONE && g.head() == null;
  }

  /** Returns whether the head has confirmed an order to leave. */
  boolean hasHeadAnsweredLeave(GroupView g) {
    String id = state.heads.get(g.key());
    return state.hasConfirmedLeft(id, g.key());
  }

  /**
   * Returns whether an instance reports a place in a group that may serve although another instance
   * reports the same place; the members of other groups have been reviewed.
   */
  private boolean isInServingGroup(FleetInstance i, GroupMembership g) {
    GroupView view = round.groups.get(GroupView.key(g.name(), g.epoch()));
    FleetInstance member = view == null ? null : view.members.get(g.rank());
    boolean isPlaceTaken = member != null && !member.id().equals(i.id());
    return view != null && isPlaceTaken && !isEnded(view);
  }

  /**
   * Returns whether an instance has sent so few heartbeats since its start that it was in no group.
   */
  static boolean isNew(FleetInstance i) {
    return i.sequence() <= MAX_MISSED_HEARTBEATS;
  }

  /**
   * Returns whether the head of a group that an instance may have left before this leader heard of
   * it must have found it missing.
   */
  private boolean hasWaitedSinceUnknownGroup(FleetInstance i) {
    return unknownGroupMillis(i) >= state.maxStallMillis();
  }

  /**
   * Returns for how long the head of such a group may have missed an instance, in milliseconds. Any
   * head in its domain that still reports that it serves, and lacks members, may be the one.
   */
  long unknownGroupMillis(FleetInstance i) {
    long since = state.lastGroups.knownSince(i.id());
    for (GroupView g : round.groups.values()) {
      FleetInstance h = g.head();
      boolean lacksMembers =
          h != null && !g.isComplete() && round.domainOf(h).equals(round.domainOf(i));
      MemberState status = g.headState();
      if (lacksMembers && (status == MemberState.OPEN || status == MemberState.CLOSING)) {
        since = Math.max(since, round.now - round.ageOf(h));
      }
    }
    return round.now - since;
  }

  /** Returns whether the head must have found an instance missing that left its group. */
  boolean hasWaitedSince(LastGroup last) {
    // The time of late orders is asked last because it takes a search of all orders sent.
    return round.now - last.leftAt() >= state.maxStallMillis()
        && waitedMillis(last) >= state.maxStallMillis();
  }

  /**
   * Returns for how long the head of a group that an instance has left may have missed it, in
   * milliseconds. A head that still reports that it serves may have stood still meanwhile, and one
   * that has not reported it may execute the order to open the group later.
   */
  long waitedMillis(LastGroup last) {
    long since = last.leftAt();
    FleetInstance h = round.instances.get(last.head);
    GroupMembership g = h == null ? null : h.group();
    boolean reportsGroup = g != null && GroupView.key(g.name(), g.epoch()).equals(last.key());
    if (reportsGroup && (g.state() == MemberState.OPEN || g.state() == MemberState.CLOSING)) {
      since = Math.max(since, round.now - round.ageOf(h));
    } else {
      since = Math.max(since, lastOpening(last, reportsGroup));
    }
    return round.now - since;
  }

  /** Returns the latest time at which a group may open by an order that was not answered. */
  private long lastOpening(LastGroup last, boolean isReported) {
    Long unanswered = state.sentOrders.lastUnanswered(FleetOrder.Kind.OPEN, last.name, last.epoch);
    if (unanswered != null) {
      return unanswered + PlannerState.LATE_ORDER_MILLIS;
    }
    boolean wasFormedInTerm = state.sentOrders.wasSent(FleetOrder.Kind.JOIN, last.name, last.epoch);
    return isReported && !wasFormedInTerm
        ? state.termStart + PlannerState.LATE_ORDER_MILLIS
        : Long.MIN_VALUE;
  }

  /** Returns whether the head of a group that an instance has left cannot serve it any more. */
  boolean isReleased(LastGroup last) {
    return isReleased(last.head, last.name, last.epoch);
  }

  private boolean isReleased(String head, String group, long epoch) {
    FleetInstance h = round.instances.get(head);
    boolean reports = h != null && h.phase() != InstancePhase.GONE;
    if (reports && isClosedForGood(h, group, epoch)) {
      return true;
    }
    String key = GroupView.key(group, epoch);
    boolean hasLeft = state.hasConfirmedLeft(head, key) || (reports && !isSoundIn(h.group(), key));
    return hasLeft && !mayReopen(head, group, epoch);
  }
}
