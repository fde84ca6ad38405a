package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/** One planning round: its input and the orders that result. */
final class PlanningRound {
  /**
   * How long a group may lack member reports, in milliseconds, because heartbeats of one change
   * arrive at different times.
   */
  private static final long INCOMPLETE_MILLIS = 1_200;

  /** The time without progress after which a head has probably lost a member, in milliseconds. */
  private static final long STALLED_MILLIS = 300;

  /**
   * The time without progress after which a group is dissolved, whatever its members report, in
   * milliseconds.
   */
  private static final long MAX_STALL_MILLIS = 2_500;

  /** The time after which a closing group aborts its remaining requests, in milliseconds. */
  private static final long MAX_CLOSING_MILLIS = 5_000;

  /** The multiple of the expected load time after which a group that is not ready is abandoned. */
  private static final double READY_TIMEOUT_FACTOR = 4;

  /** Added to that time, in milliseconds. */
  private static final long READY_TIMEOUT_MARGIN_MILLIS = 5_000;

  final PlannerState state;
  final EngineProfile engine;
  final Map<String, InstanceLoad> loads;
  final boolean beforeTraffic;
  final long now;
  final List<FleetOrder> orders = new ArrayList<>();
  final Map<String, FleetInstance> instances = new TreeMap<>();

  /** The time since the last heartbeat of each instance, in milliseconds. */
  final Map<String, Long> ages = new HashMap<>();

  final Map<String, GroupView> groups = new TreeMap<>();

  /** The instances that cannot join a new group in this round. */
  final Set<String> assigned = new HashSet<>();

  /** The highest epoch of the groups that each instance may join by an order already sent. */
  private final Map<String, Long> laterEpochs = new HashMap<>();

  /**
   * The orders to join a group that each instance may execute late, or may have executed since its
   * last heartbeat.
   */
  final Map<String, List<SentOrders.UnansweredOrder>> unansweredJoins = new HashMap<>();

  /** The number of usable and planned groups of each model. */
  final Map<String, Integer> counts = new HashMap<>();

  /** The number of requests in flight at all groups of each model. */
  final Map<String, Integer> active = new HashMap<>();

  /** Which instances may join another group. */
  final MemberRelease release;

  private final LateOrders lateOrders;

  private @Nullable GroupFormation formation;

  PlanningRound(
      PlannerState state,
      EngineProfile engine,
      Map<String, InstanceLoad> loads,
      boolean beforeTraffic,
      long now) {
    this.state = state;
    this.engine = engine;
    this.loads = loads;
    this.beforeTraffic = beforeTraffic;
    this.now = now;
    this.lateOrders = new LateOrders(state);
    this.release = new MemberRelease(this, lateOrders);
  }

  void add(InstanceUpdate u) {
    FleetInstance i = u.instance();
    GroupMembership g = i.group();
    instances.put(i.id(), i);
    ages.put(i.id(), u.ageMillis());
    if (g == null) {
      state.confirmedLeft.remove(i.id());
      return;
    }
    GroupName parsedName = GroupName.of(g);
    if (g.rank() == 0) {
      state.heads.put(GroupView.key(g.name(), g.epoch()), i.id());
    }
    if (parsedName == null || (hasConfirmedLeft(i, g) && !hasReturned(u))) {
      return;
    }
    groups
        .computeIfAbsent(
            GroupView.key(g.name(), g.epoch()), k -> new GroupView(g.name(), g.epoch(), parsedName))
        .members
        .put(g.rank(), i);
    state.highestEpoch = Math.max(state.highestEpoch, g.epoch());
  }

  private boolean hasConfirmedLeft(FleetInstance i, GroupMembership g) {
    return state.hasConfirmedLeft(i.id(), GroupView.key(g.name(), g.epoch()));
  }

  /**
   * Returns whether an instance that has confirmed that it left the group that it reports has
   * joined it again since: its heartbeat is too recent to have been sent before the answer.
   */
  private boolean hasReturned(InstanceUpdate u) {
    String id = u.instance().id();
    PlannerState.LeaveAnswer answer = state.confirmedLeft.get(id);
    boolean isLater =
        answer != null
            && now - u.ageMillis() > answer.at() + PlannerState.MAX_HEARTBEAT_DELAY_MILLIS;
    if (isLater) {
      state.confirmedLeft.remove(id);
      state.lastGroups.end(id, now);
    }
    return isLater;
  }

  /** Records the groups of this round; called once all instances have been added. */
  void recordLastGroups() {
    state.lastGroups.retain(instances.keySet());
    for (FleetInstance i : instances.values()) {
      LastGroup before = state.lastGroups.report(i, now);
      if (before != null) {
        recordReturn(i, before);
      }
    }
    state.lastGroups.nameHeads(state.heads);
  }

  private void recordReturn(FleetInstance i, LastGroup g) {
    state.decisions.returned(i, g, lateOrders, now);
    // The earlier answer no longer holds.
    state.sentOrders.forget(
        new FleetOrder(
            FleetOrder.Kind.LEAVE,
            i.id(),
            i.address(),
            g.name,
            g.epoch,
            "",
            List.of(),
            state.term));
  }

  /**
   * Opens groups that are ready, closes those that drain or make room for another model, and
   * dissolves those that can no longer serve.
   */
  void reviewGroups() {
    for (PlannedGroup p : state.planned.values()) {
      p.members().forEach(id -> laterEpochs.merge(id, p.epoch(), Math::max));
    }
    long sinceLate = now - PlannerState.LATE_ORDER_MILLIS;
    for (SentOrders.UnansweredOrder u :
        state.sentOrders.unansweredJoins(
            sinceLate - state.silentMillis - PlannerState.MAX_HEARTBEAT_DELAY_MILLIS)) {
      unansweredJoins.computeIfAbsent(u.order().instance(), k -> new ArrayList<>()).add(u);
      if (u.at() >= sinceLate) {
        laterEpochs.merge(u.order().instance(), u.order().epoch(), Math::max);
      }
    }
    for (GroupView g : groups.values()) {
      FleetInstance head = g.head();
      GroupDecision.Cause lost = lossOf(g);
      GroupDecision.Cause retired = lost == null ? retirementOf(g) : null;
      if (lost != null) {
        state.decisions.givenUp(this, g, lost);
        state.planned.remove(g.key());
        dissolve(g);
      } else if (retired != null) {
        state.decisions.givenUp(this, g, retired);
        retire(g);
      } else {
        g.members.values().forEach(m -> assigned.add(m.id()));
        counts.merge(g.parsedName.model(), 1, Integer::sum);
        if (head != null) {
          active.merge(g.parsedName.model(), activeAt(head.id()), Integer::sum);
        }
        if (head != null && g.isReady()) {
          state.planned.remove(g.key());
          order(FleetOrder.Kind.OPEN, head, g.name, g.epoch, g.parsedName.model(), List.of());
        }
      }
    }
  }

  /** Returns why a group can no longer serve, or null if it can. */
  private GroupDecision.@Nullable Cause lossOf(GroupView g) {
    MemberState status = g.headState();
    if (status == MemberState.BROKEN) {
      return GroupDecision.Cause.of(GiveUpReason.BROKEN);
    }
    if (release.hasHeadLeft(g)) {
      return departureOf(g);
    }
    for (FleetInstance m : g.members.values()) {
      if (laterEpochs.getOrDefault(m.id(), g.epoch) > g.epoch) {
        return GroupDecision.Cause.of(GiveUpReason.MEMBER_TAKEN, m.id(), -1);
      }
    }
    if (g.isReady() && g.epoch >> PlannerState.EPOCH_BITS < state.term) {
      return GroupDecision.Cause.of(GiveUpReason.EARLIER_TERM);
    }
    InstanceLoad load = loadOf(g);
    boolean progressing = load != null && load.hasProgress();
    if (progressing) {
      state.progressAt.put(g.key(), now);
    }
    long stalled = load == null || status != MemberState.OPEN ? 0 : stalledMillis(g, load);
    if (stalled > MAX_STALL_MILLIS) {
      return GroupDecision.Cause.of(GiveUpReason.STALLED, "", stalled);
    }
    long maxSilence = stalled > STALLED_MILLIS ? state.quickSilentMillis : state.silentMillis;
    for (FleetInstance m : g.members.values()) {
      if (m.phase() == InstancePhase.GONE) {
        return GroupDecision.Cause.of(GiveUpReason.MEMBER_GONE, m.id(), ageOf(m));
      }
      if (ageOf(m) > maxSilence && !progressing) {
        return GroupDecision.Cause.of(GiveUpReason.MEMBER_SILENT, m.id(), ageOf(m));
      }
    }
    long incomplete = incompleteMillis(g);
    return incomplete >= INCOMPLETE_MILLIS
        ? GroupDecision.Cause.of(GiveUpReason.INCOMPLETE, "", incomplete)
        : null;
  }

  /**
   * Returns for how long a group has been stalled, in milliseconds. An entry may report a failure
   * that is older than the progress that others saw, if it has sent no request there since.
   */
  private long stalledMillis(GroupView g, InstanceLoad load) {
    Long progressAt = state.progressAt.get(g.key());
    return progressAt == null
        ? load.stalledMillis()
        : Math.min(load.stalledMillis(), now - progressAt);
  }

  private GroupDecision.Cause departureOf(GroupView g) {
    PlannerState.LeaveAnswer answer =
        release.hasHeadAnsweredLeave(g) ? state.confirmedLeft.get(state.heads.get(g.key())) : null;
    return answer == null
        ? GroupDecision.Cause.of(GiveUpReason.HEAD_REPORTED_LEFT)
        : new GroupDecision.Cause(
            GiveUpReason.HEAD_ANSWERED_LEAVE, "", now - answer.at(), answer.outcome());
  }

  /** Returns why a group that can serve is to be closed, or null if it is not. */
  private GroupDecision.@Nullable Cause retirementOf(GroupView g) {
    for (FleetInstance m : g.members.values()) {
      if (m.phase() == InstancePhase.DRAINING) {
        return GroupDecision.Cause.of(GiveUpReason.MEMBER_DRAINING, m.id(), -1);
      }
    }
    Long since = state.retiring.get(g.key());
    return since == null ? null : GroupDecision.Cause.of(GiveUpReason.OTHER_MODEL, "", now - since);
  }

  /**
   * Returns for how long the report of a member, which may have restarted, has been missing, in
   * milliseconds.
   */
  private long incompleteMillis(GroupView g) {
    if (g.isComplete() || state.planned.containsKey(g.key())) {
      state.incompleteSince.remove(g.key());
      return 0;
    }
    return now - state.incompleteSince.computeIfAbsent(g.key(), k -> now);
  }

  /**
   * Frees the members of a group that has lost a member, once its head can no longer serve. Unless
   * the head confirms that it has left, the members leave, so that it finds them missing.
   */
  private void dissolve(GroupView g) {
    if (release.isEnded(g)) {
      return;
    }
    g.members.values().forEach(m -> assigned.add(m.id()));
    if (release.hasHeadLeft(g) && keepUntilOrdersExpire(g)) {
      return;
    }
    FleetInstance head = g.head();
    if (head != null && !isLost(head)) {
      FleetOrder o = leave(head, g);
      OrderOutcome latest = state.sentOrders.outcome(o);
      sendIfDue(o);
      if (latest == null || latest == OrderOutcome.FENCED) {
        return;
      }
      boolean serves = g.headState() == MemberState.OPEN || g.headState() == MemberState.CLOSING;
      if (!serves && now >= release.openedBy(head.id(), g.name, g.epoch)) {
        // The answer frees the members although the head has not confirmed that it left.
        order(FleetOrder.Kind.CLOSE, head, g.name, g.epoch, "", List.of());
      }
    }
    withdrawOpenOrder(g);
    for (FleetInstance m : g.members.values()) {
      if (m != head && !isLost(m)) {
        sendIfDue(leave(m, g));
      }
    }
  }

  /**
   * Keeps the members of a group in place, whose head has left and may open it again by late
   * orders: the group is whole then, and is given up in the same way as before. Once no order can
   * be executed any more, the head is asked to leave again, so that its answer ends the wait. An
   * answer also ends that for orders of earlier leaders.
   *
   * @return whether the head can still be heard
   */
  private boolean keepUntilOrdersExpire(GroupView g) {
    String id = state.heads.getOrDefault(g.key(), "");
    FleetInstance head = instances.get(id);
    if (head == null || isLost(head)) {
      return false;
    }
    state.decisions.held(this, g, lateOrders);
    boolean mayExecuteEarlier = lateOrders.mayExecuteEarlier(id, g.epoch);
    if (mayExecuteEarlier || now >= lateOrders.reopenableUntil(id, g.name, g.epoch)) {
      sendIfDue(leave(head, g));
    }
    return true;
  }

  /**
   * Makes a deregistered head leave its group if it has not confirmed the order to open it, which
   * it may execute much later.
   */
  private void withdrawOpenOrder(GroupView g) {
    FleetInstance head = instances.get(state.heads.getOrDefault(g.key(), ""));
    if (head != null
        && head.phase() == InstancePhase.GONE
        && state.sentOrders.isUnconfirmed(FleetOrder.Kind.OPEN, g.name, g.epoch)) {
      sendIfDue(leave(head, g));
    }
  }

  /**
   * Closes a group that has a draining member or makes room for another model, and dissolves it
   * once it no longer serves.
   */
  private void retire(GroupView g) {
    FleetInstance head = g.head();
    MemberState status = g.headState();
    if (head == null || isLost(head)) {
      dissolve(g);
      return;
    }
    if (status == MemberState.OPEN) {
      order(FleetOrder.Kind.CLOSE, head, g.name, g.epoch, "", List.of());
    } else if (status == MemberState.CLOSING
        && now - state.retiring.getOrDefault(g.key(), now) > MAX_CLOSING_MILLIS) {
      order(FleetOrder.Kind.CUT, head, g.name, g.epoch, "", List.of());
    }
    if (status == MemberState.OPEN || status == MemberState.CLOSING) {
      g.members.values().forEach(m -> assigned.add(m.id()));
      return;
    }
    dissolve(g);
  }

  /**
   * Repeats unconfirmed join orders, and abandons groups that do not become ready in time or a
   * member of which may be in a group that serves.
   */
  void reviewPlans() {
    List<PlannedGroup> plans = new ArrayList<>(state.planned.values());
    for (PlannedGroup p : plans) {
      boolean failed = now > p.readyBy();
      for (String id : p.members()) {
        FleetInstance m = instances.get(id);
        failed |= m == null || isLost(m) || m.phase() != InstancePhase.READY;
        // The order to join would be repeated.
        failed |=
            m != null && !hasJoined(p, m) && (assigned.contains(id) || !release.mayStillJoin(m));
      }
      if (failed) {
        state.planned.remove(GroupView.key(p.name(), p.epoch()));
        continue;
      }
      assigned.addAll(p.members());
      if (!groups.containsKey(GroupView.key(p.name(), p.epoch()))) {
        counts.merge(p.model(), 1, Integer::sum);
      }
      for (String id : p.members()) {
        FleetInstance m = instances.get(id);
        if (!hasJoined(p, m)) {
          sendIfDue(join(p, m));
        }
      }
    }
  }

  /** Returns whether a member reports a planned group, or has confirmed the order to join it. */
  private boolean hasJoined(PlannedGroup p, FleetInstance m) {
    GroupMembership g = m.group();
    OrderOutcome latest = state.sentOrders.outcome(join(p, m));
    return latest == OrderOutcome.ACCEPTED
        || latest == OrderOutcome.HOLDS
        || (g != null && g.name().equals(p.name()) && g.epoch() == p.epoch());
  }

  /** Returns the group formation of this round; must be called after {@link #reviewGroups}. */
  GroupFormation formation() {
    GroupFormation f = formation;
    if (f == null) {
      int usable = 0;
      for (FleetInstance i : instances.values()) {
        usable += i.phase() == InstancePhase.READY && !isLost(i) ? 1 : 0;
      }
      f = new GroupFormation(engine, counts, active, usable);
      formation = f;
    }
    return f;
  }

  /**
   * Retires groups of one model in favor of another with a greater shortfall, where their members
   * and the free instances of the domain can form a group of the other model.
   */
  void convert() {
    if (!state.retiring.isEmpty() || beforeTraffic) {
      return;
    }
    GroupFormation f = formation();
    Map<String, List<FleetInstance>> domains = freeByDomain();
    Conversion best = null;
    for (ModelProfile to : engine.models()) {
      for (ModelProfile from : engine.models()) {
        if (!from.name().equals(to.name())) {
          Conversion c = conversion(f, domains, from, to);
          best = c != null && (best == null || c.cost() < best.cost()) ? c : best;
        }
      }
    }
    if (best != null) {
      best.groups().forEach(g -> state.retiring.put(g.key(), now));
    }
  }

  private @Nullable Conversion conversion(
      GroupFormation f,
      Map<String, List<FleetInstance>> domains,
      ModelProfile from,
      ModelProfile to) {
    Map<String, List<GroupView>> open = new TreeMap<>();
    for (GroupView g : groups.values()) {
      FleetInstance head = g.head();
      boolean healthy = head != null && head.servesGroup() && assigned.contains(head.id());
      if (healthy && g.parsedName.model().equals(from.name())) {
        open.computeIfAbsent(domainOf(head), d -> new ArrayList<>()).add(g);
      }
    }
    Conversion best = null;
    for (Map.Entry<String, List<GroupView>> e : open.entrySet()) {
      int free =
          (int)
              domains.getOrDefault(e.getKey(), List.of()).stream()
                  .filter(i -> i.isWarmFor(to.name()))
                  .count();
      List<GroupView> chosen = new ArrayList<>();
      for (GroupView g : e.getValue()) {
        boolean warm = g.members.values().stream().allMatch(m -> m.isWarmFor(to.name()));
        if (free < to.groupSize() && warm) {
          chosen.add(g);
          free += g.members.size();
        }
      }
      boolean useful =
          !chosen.isEmpty()
              && free >= to.groupSize()
              && f.isWorthConverting(from, to, chosen.size());
      int cost = chosen.size() * from.groupSize() + (free - to.groupSize());
      if (useful && (best == null || cost < best.cost())) {
        best = new Conversion(chosen, cost);
      }
    }
    return best;
  }

  /**
   * Reserves the survivors of a large group for a new one that the members of a small group
   * complete. Otherwise each loss of a large group would leave a small one, until the large model
   * had no groups.
   */
  private void reserveForLargeGroup(String domain, List<FleetInstance> free, GroupFormation f) {
    for (ModelProfile large : engine.models()) {
      List<FleetInstance> warm = free.stream().filter(i -> i.isWarmFor(large.name())).toList();
      int missing = large.groupSize() - warm.size();
      for (ModelProfile small : engine.models()) {
        boolean canComplete =
            small.groupSize() < large.groupSize() && missing > 0 && missing <= small.groupSize();
        if (canComplete && (isRetiring(domain, large) || retireOne(domain, large, small, f))) {
          removeMembers(free, warm);
          return;
        }
      }
    }
  }

  /** Returns whether a group is being retired whose members can complete a group of a model. */
  private boolean isRetiring(String domain, ModelProfile large) {
    return groups.values().stream()
        .anyMatch(g -> state.retiring.containsKey(g.key()) && isWarmIn(domain, g, large));
  }

  /** Retires the least busy small group of a domain if a large group is worth it. */
  private boolean retireOne(
      String domain, ModelProfile large, ModelProfile small, GroupFormation f) {
    if (!f.isWorthCompleting(large, small)) {
      return false;
    }
    GroupView leastBusy = null;
    for (GroupView g : groups.values()) {
      boolean fits =
          g.parsedName.model().equals(small.name()) && isServing(g) && isWarmIn(domain, g, large);
      if (fits && (leastBusy == null || activeRequests(g) < activeRequests(leastBusy))) {
        leastBusy = g;
      }
    }
    if (leastBusy == null) {
      return false;
    }
    state.retiring.put(leastBusy.key(), now);
    return true;
  }

  private static boolean isServing(GroupView g) {
    FleetInstance head = g.head();
    return head != null && head.servesGroup();
  }

  private int activeRequests(GroupView g) {
    FleetInstance head = g.head();
    return head == null ? 0 : activeAt(head.id());
  }

  private boolean isWarmIn(String domain, GroupView g, ModelProfile m) {
    return g.isComplete()
        && g.members.values().stream()
            .allMatch(i -> domainOf(i).equals(domain) && i.isWarmFor(m.name()));
  }

  String domainOf(FleetInstance i) {
    return i.domain().isEmpty() ? "zone " + i.zone() : i.domain();
  }

  /** Forms groups from free instances, the most valuable first. */
  void form() {
    Map<String, List<FleetInstance>> domains = freeByDomain();
    GroupFormation f = formation();
    if (!beforeTraffic) {
      domains.forEach((d, free) -> reserveForLargeGroup(d, free, f));
    }
    while (true) {
      GroupFormation.Choice c = f.best(domains, beforeTraffic);
      if (c == null) {
        return;
      }
      counts.merge(c.model().name(), 1, Integer::sum);
      removeMembers(domains.get(c.domain()), c.members());
      state.highestEpoch++;
      GroupName name = new GroupName(c.model().name(), c.model().groupSize(), state.highestEpoch);
      List<String> ids = c.members().stream().map(FleetInstance::id).toList();
      long readyBy =
          now + READY_TIMEOUT_MARGIN_MILLIS + (long) (c.readyMillis() * READY_TIMEOUT_FACTOR);
      PlannedGroup p =
          new PlannedGroup(name.text(), state.highestEpoch, c.model().name(), ids, now, readyBy);
      state.planned.put(GroupView.key(p.name(), p.epoch()), p);
      assigned.addAll(ids);
      c.members().forEach(m -> state.decisions.taken(this, p, m));
      c.members().forEach(m -> sendIfDue(join(p, m)));
    }
  }

  boolean isJoining(FleetInstance i) {
    GroupMembership g = i.group();
    if (g != null) {
      return g.state() == MemberState.JOINING;
    }
    return assigned.contains(i.id());
  }

  Map<String, List<FleetInstance>> freeByDomain() {
    Map<String, List<FleetInstance>> out = new TreeMap<>();
    for (FleetInstance i : instances.values()) {
      if (isFree(i)) {
        out.computeIfAbsent(domainOf(i), d -> new ArrayList<>()).add(i);
      }
    }
    return out;
  }

  /**
   * Returns the planned and open groups by model and the instances without a group, for the log.
   */
  String summarize() {
    Map<String, Integer> open = new TreeMap<>();
    for (GroupView g : groups.values()) {
      if (isServing(g) && !state.retiring.containsKey(g.key())) {
        open.merge(g.parsedName.model(), 1, Integer::sum);
      }
    }
    int lost = 0;
    for (FleetInstance i : instances.values()) {
      lost += i.phase() != InstancePhase.GONE && isLost(i) ? 1 : 0;
    }
    Map<String, String> free = new TreeMap<>();
    freeByDomain().forEach((d, l) -> free.put(d, l.size() + " " + warmCounts(l)));
    return "groups="
        + new TreeMap<>(counts)
        + " open="
        + open
        + " retiring="
        + state.retiring.size()
        + " free="
        + free
        + " silent="
        + lost
        + " staging="
        + state.staging.size();
  }

  private Map<String, Long> warmCounts(List<FleetInstance> l) {
    Map<String, Long> out = new TreeMap<>();
    for (ModelProfile m : engine.models()) {
      out.put(m.name(), l.stream().filter(i -> i.isWarmFor(m.name())).count());
    }
    return out;
  }

  boolean isFree(FleetInstance i) {
    // The other members of a new group would wait for an instance whose heartbeat is overdue.
    boolean overdue = ages.getOrDefault(i.id(), 0L) > state.quickSilentMillis;
    if (i.phase() != InstancePhase.READY || overdue || assigned.contains(i.id())) {
      return false;
    }
    if (now < state.avoidUntil.getOrDefault(i.id(), Long.MIN_VALUE)) {
      return false;
    }
    return release.isFree(i);
  }

  boolean isLost(FleetInstance i) {
    return i.phase() == InstancePhase.GONE || ageOf(i) > state.silentMillis;
  }

  /** Returns the time since the last heartbeat of an instance, in milliseconds. */
  long ageOf(FleetInstance i) {
    return ages.getOrDefault(i.id(), 0L);
  }

  /**
   * Returns the earliest time at which an instance can have sent its last heartbeat, in
   * milliseconds.
   */
  long lastHeartbeatSentAt(FleetInstance i) {
    return now - ageOf(i) - PlannerState.MAX_HEARTBEAT_DELAY_MILLIS;
  }

  private int activeAt(String head) {
    InstanceLoad l = loads.get(head);
    return l == null ? 0 : l.active();
  }

  /** Returns the load that the entries report for the head of a group in this epoch, or null. */
  private @Nullable InstanceLoad loadOf(GroupView g) {
    FleetInstance head = g.head();
    InstanceLoad l = head == null ? null : loads.get(head.id());
    return l == null || l.epoch() != g.epoch ? null : l;
  }

  private FleetOrder join(PlannedGroup p, FleetInstance m) {
    return new FleetOrder(
        FleetOrder.Kind.JOIN,
        m.id(),
        m.address(),
        p.name(),
        p.epoch(),
        p.model(),
        p.members(),
        state.term);
  }

  private FleetOrder leave(FleetInstance m, GroupView g) {
    return new FleetOrder(
        FleetOrder.Kind.LEAVE, m.id(), m.address(), g.name, g.epoch, "", List.of(), state.term);
  }

  private void order(
      FleetOrder.Kind kind,
      FleetInstance to,
      String group,
      long epoch,
      String model,
      List<String> members) {
    sendIfDue(
        new FleetOrder(kind, to.id(), to.address(), group, epoch, model, members, state.term));
  }

  boolean sendIfDue(FleetOrder o) {
    boolean due = state.sentOrders.recordIfDue(o, now);
    if (due) {
      orders.add(o);
    }
    return due;
  }

  /**
   * Removes instances by identifier. The generated equals method of a record with many fields takes
   * 40 ms of CPU time on its first use, during which the leader repairs nothing.
   */
  private static void removeMembers(List<FleetInstance> from, List<FleetInstance> members) {
    Set<String> ids = members.stream().map(FleetInstance::id).collect(Collectors.toSet());
    from.removeIf(i -> ids.contains(i.id()));
  }

  /**
   * Groups of one model to retire for a group of another.
   *
   * @param groups the groups to retire
   * @param cost the number of instances that stop serving plus those left over
   */
  private record Conversion(List<GroupView> groups, int cost) {}
}
