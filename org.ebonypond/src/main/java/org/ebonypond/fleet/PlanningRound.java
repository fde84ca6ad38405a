package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/** One planning round: what it sees, and the orders that it decides. */
final class PlanningRound {
  /** The heartbeats of the members that show one change arrive within this time. */
  private static final long INCOMPLETE_MILLIS = 1_200;

  /** A head without progress for this long has probably lost a member. */
  private static final long STALLED_MILLIS = 300;

  /** A head without progress for this long is given up, whatever its members say. */
  private static final long HOPELESS_MILLIS = 2_500;

  /** A group that has not finished its requests after this time drops them, in milliseconds. */
  private static final long MAX_CLOSING_MILLIS = 5_000;

  /** Groups that are not ready after this multiple of the expected load time are given up. */
  private static final double LOAD_PATIENCE = 4;

  private static final long PATIENCE_MILLIS = 5_000;

  final PlannerState state;
  final EngineProfile engine;
  final Map<String, HeadLoad> loads;
  final boolean beforeTraffic;
  final long now;
  final List<FleetOrder> orders = new ArrayList<>();
  final Map<String, FleetInstance> instances = new TreeMap<>();
  final Map<String, Long> ages = new HashMap<>();
  final Map<String, GroupView> groups = new TreeMap<>();
  final Set<String> taken = new HashSet<>();
  final Map<String, Integer> counts = new HashMap<>();
  final Map<String, Integer> active = new HashMap<>();
  private @Nullable GroupFormation formation;

  PlanningRound(
      PlannerState state,
      EngineProfile engine,
      Map<String, HeadLoad> loads,
      boolean beforeTraffic,
      long now) {
    this.state = state;
    this.engine = engine;
    this.loads = loads;
    this.beforeTraffic = beforeTraffic;
    this.now = now;
  }

  void add(InstanceUpdate u) {
    FleetInstance i = u.instance();
    GroupMembership g = i.group();
    instances.put(i.id(), i);
    ages.put(i.id(), u.ageMillis());
    if (g == null) {
      state.left.remove(i.id());
      return;
    }
    GroupName parts = GroupName.parse(g.name());
    if (g.rank() == 0) {
      state.heads.put(GroupView.key(g.name(), g.epoch()), i.id());
    }
    if (parts == null || GroupView.key(g.name(), g.epoch()).equals(state.left.get(i.id()))) {
      return;
    }
    groups
        .computeIfAbsent(
            GroupView.key(g.name(), g.epoch()), k -> new GroupView(g.name(), g.epoch(), parts))
        .members
        .put(g.rank(), i);
    state.epochs = Math.max(state.epochs, g.epoch());
  }

  /** Opens groups that are ready, and takes apart those that cannot serve any more. */
  void reviewGroups() {
    for (GroupView g : groups.values()) {
      PlannedGroup p = state.planned.get(g.key());
      FleetInstance head = g.head();
      MemberState status = g.headState();
      HeadLoad load = loadOf(g);
      boolean progresses = load != null && load.progresses();
      boolean lost = status == MemberState.BROKEN || hasHeadLeft(g);
      boolean draining = false;
      long stalled = load == null || status != MemberState.OPEN ? 0 : load.stalledMillis();
      lost |= stalled > HOPELESS_MILLIS;
      long silence = stalled > STALLED_MILLIS ? state.quickSilentMillis : state.silentMillis;
      for (FleetInstance m : g.members.values()) {
        boolean silent = ages.getOrDefault(m.id(), 0L) > silence;
        lost |= m.phase() == InstancePhase.GONE || (silent && !progresses);
        draining |= m.phase() == InstancePhase.DRAINING;
      }
      if (lost || isLongIncomplete(g, p)) {
        state.planned.remove(g.key());
        takeApart(g);
      } else if (draining || state.retiring.containsKey(g.key())) {
        retire(g);
      } else {
        g.members.values().forEach(m -> taken.add(m.id()));
        counts.merge(g.parts.model(), 1, Integer::sum);
        if (head != null) {
          active.merge(g.parts.model(), activeAt(head.id()), Integer::sum);
        }
        if (head != null && g.isReady()) {
          state.planned.remove(g.key());
          order(FleetOrder.Kind.OPEN, head, g.name, g.epoch, g.parts.model(), List.of());
        }
      }
    }
  }

  /** Returns whether a member of a group has not reported, or has restarted, for some time. */
  private boolean isLongIncomplete(GroupView g, @Nullable PlannedGroup p) {
    if (g.isComplete() || p != null) {
      state.incompleteSince.remove(g.key());
      return false;
    }
    return now - state.incompleteSince.computeIfAbsent(g.key(), k -> now) >= INCOMPLETE_MILLIS;
  }

  /** Frees the members of a group that has lost one, as soon as its head cannot serve. */
  private void takeApart(GroupView g) {
    if (hasHeadLeft(g)) {
      return;
    }
    FleetInstance head = g.head();
    boolean headLost = head == null || isLost(head);
    MemberState status = g.headState();
    boolean mayServe =
        status != MemberState.BROKEN
            && (status == MemberState.OPEN
                || status == MemberState.CLOSING
                || now - state.leadsSince < PlannerState.KEEP_ORDERS_MILLIS && !wasPlannedHere(g)
                || state.book.wasSent(FleetOrder.Kind.OPEN, idOf(head), g.name, g.epoch));
    if (!headLost && mayServe) {
      order(FleetOrder.Kind.LEAVE, head, g.name, g.epoch, "", List.of());
      g.members.values().forEach(m -> taken.add(m.id()));
      return;
    }
    if (headLost && mayServe) {
      for (FleetInstance m : g.members.values()) {
        taken.add(m.id());
        if (!isLost(m)) {
          order(FleetOrder.Kind.LEAVE, m, g.name, g.epoch, "", List.of());
          state.quarantine.put(m.id(), now + state.stallMillis + PlannerState.STALL_MARGIN_MILLIS);
        }
      }
    }
  }

  /**
   * Returns whether the head of a group has left it, by its own word or by an end of its process.
   * The group can serve nothing then, and its members are free.
   */
  private boolean hasHeadLeft(GroupView g) {
    String id = state.heads.get(g.key());
    if (id == null) {
      return false;
    }
    if (g.key().equals(state.left.get(id))) {
      return true;
    }
    FleetInstance h = instances.get(id);
    // An instance that has deregistered may go on serving for a while.
    return h != null && h.phase() != InstancePhase.GONE && g.head() == null;
  }

  /** Ends the service of a group with a member that leaves. */
  private void retire(GroupView g) {
    FleetInstance head = g.head();
    MemberState status = g.headState();
    if (head == null || isLost(head)) {
      takeApart(g);
      return;
    }
    if (status == MemberState.OPEN) {
      order(FleetOrder.Kind.CLOSE, head, g.name, g.epoch, "", List.of());
    } else if (status == MemberState.CLOSING
        && now - state.retiring.getOrDefault(g.key(), now) > MAX_CLOSING_MILLIS) {
      order(FleetOrder.Kind.CUT, head, g.name, g.epoch, "", List.of());
    }
    if (status == MemberState.OPEN || status == MemberState.CLOSING) {
      g.members.values().forEach(m -> taken.add(m.id()));
      return;
    }
    takeApart(g);
  }

  private boolean wasPlannedHere(GroupView g) {
    FleetInstance head = g.head();
    return head != null && state.book.wasSent(FleetOrder.Kind.JOIN, head.id(), g.name, g.epoch);
  }

  private String idOf(@Nullable FleetInstance i) {
    return i == null ? "" : i.id();
  }

  /** Repeats joins that are not confirmed, and gives up groups that do not become ready. */
  void reviewPlans() {
    List<PlannedGroup> plans = new ArrayList<>(state.planned.values());
    for (PlannedGroup p : plans) {
      boolean failed = now > p.readyBy();
      for (String id : p.members()) {
        FleetInstance m = instances.get(id);
        failed |= m == null || isLost(m) || m.phase() != InstancePhase.READY;
      }
      if (failed) {
        state.planned.remove(GroupView.key(p.name(), p.epoch()));
        continue;
      }
      taken.addAll(p.members());
      if (!groups.containsKey(GroupView.key(p.name(), p.epoch()))) {
        counts.merge(p.model(), 1, Integer::sum);
      }
      for (String id : p.members()) {
        FleetInstance m = instances.get(id);
        GroupMembership g = m.group();
        boolean joined = g != null && g.name().equals(p.name()) && g.epoch() == p.epoch();
        FleetOrder o = join(p, m);
        OrderOutcome done = state.book.outcome(o);
        if (!joined && done != OrderOutcome.ACCEPTED && done != OrderOutcome.HOLDS) {
          send(o);
        }
      }
    }
  }

  /** Returns the choice of groups of this round; call after the groups were reviewed. */
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
   * Dissolves groups of a model that is better served than another one, where their members and the
   * free instances of the domain can form a group of the other.
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
      boolean sound = head != null && head.servesGroup() && taken.contains(head.id());
      if (sound && g.parts.model().equals(from.name())) {
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
   * Keeps the survivors of a large group for a new one, which members of a small group complete.
   * Were each loss of a large group to leave a small one, the large model would lose all of its
   * groups.
   */
  private void complete(String domain, List<FleetInstance> free, GroupFormation f) {
    for (ModelProfile large : engine.models()) {
      List<FleetInstance> warm = free.stream().filter(i -> i.isWarmFor(large.name())).toList();
      int lacking = large.groupSize() - warm.size();
      for (ModelProfile small : engine.models()) {
        boolean helps =
            small.groupSize() < large.groupSize() && lacking > 0 && lacking <= small.groupSize();
        if (helps && (isDissolving(domain, large) || dissolveOne(domain, large, small, f))) {
          free.removeAll(warm);
          return;
        }
      }
    }
  }

  /** Returns whether a group is being dissolved whose members can complete one of a model. */
  private boolean isDissolving(String domain, ModelProfile large) {
    return groups.values().stream()
        .anyMatch(g -> state.retiring.containsKey(g.key()) && isWarmIn(domain, g, large));
  }

  /** Dissolves the least busy small group of a domain if that is worth a large one. */
  private boolean dissolveOne(
      String domain, ModelProfile large, ModelProfile small, GroupFormation f) {
    if (!f.isWorthCompleting(large, small)) {
      return false;
    }
    GroupView least = null;
    for (GroupView g : groups.values()) {
      boolean fits =
          g.parts.model().equals(small.name()) && isServing(g) && isWarmIn(domain, g, large);
      if (fits && (least == null || busyAt(g) < busyAt(least))) {
        least = g;
      }
    }
    if (least == null) {
      return false;
    }
    state.retiring.put(least.key(), now);
    return true;
  }

  private static boolean isServing(GroupView g) {
    FleetInstance head = g.head();
    return head != null && head.servesGroup();
  }

  private int busyAt(GroupView g) {
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

  /** Forms groups from free instances, the most useful one first. */
  void form() {
    Map<String, List<FleetInstance>> domains = freeByDomain();
    GroupFormation f = formation();
    if (!beforeTraffic) {
      domains.forEach((d, free) -> complete(d, free, f));
    }
    while (true) {
      GroupFormation.Choice c = f.best(domains, beforeTraffic);
      if (c == null) {
        return;
      }
      counts.merge(c.model().name(), 1, Integer::sum);
      domains.get(c.domain()).removeAll(c.members());
      state.epochs++;
      GroupName name = new GroupName(c.model().name(), c.model().groupSize(), state.epochs);
      List<String> ids = c.members().stream().map(FleetInstance::id).toList();
      long readyBy = now + PATIENCE_MILLIS + (long) (c.readyMillis() * LOAD_PATIENCE);
      PlannedGroup p =
          new PlannedGroup(name.text(), state.epochs, c.model().name(), ids, now, readyBy);
      state.planned.put(GroupView.key(p.name(), p.epoch()), p);
      taken.addAll(ids);
      c.members().forEach(m -> send(join(p, m)));
    }
  }

  boolean isJoining(FleetInstance i) {
    GroupMembership g = i.group();
    if (g != null) {
      return g.state() == MemberState.JOINING;
    }
    return taken.contains(i.id());
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

  /** Returns groups by model (planned and open) and the instances that are in none. */
  String summarize() {
    Map<String, Integer> open = new TreeMap<>();
    for (GroupView g : groups.values()) {
      if (isServing(g) && !state.retiring.containsKey(g.key())) {
        open.merge(g.parts.model(), 1, Integer::sum);
      }
    }
    int lost = 0;
    for (FleetInstance i : instances.values()) {
      lost += i.phase() != InstancePhase.GONE && isLost(i) ? 1 : 0;
    }
    Map<String, String> free = new TreeMap<>();
    freeByDomain().forEach((d, l) -> free.put(d, l.size() + " " + warmth(l)));
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

  private Map<String, Long> warmth(List<FleetInstance> l) {
    Map<String, Long> out = new TreeMap<>();
    for (ModelProfile m : engine.models()) {
      out.put(m.name(), l.stream().filter(i -> i.isWarmFor(m.name())).count());
    }
    return out;
  }

  boolean isFree(FleetInstance i) {
    // An instance whose heartbeat is overdue would keep the others of a new group waiting.
    boolean overdue = ages.getOrDefault(i.id(), 0L) > state.quickSilentMillis;
    if (i.phase() != InstancePhase.READY || overdue || taken.contains(i.id())) {
      return false;
    }
    if (now < state.quarantine.getOrDefault(i.id(), Long.MIN_VALUE)
        || now < state.avoid.getOrDefault(i.id(), Long.MIN_VALUE)) {
      return false;
    }
    // An instance with a model was in a group. Its head may wait for it if an earlier leader
    // ordered it to leave.
    boolean used = !i.lastModel().isEmpty() && i.group() == null;
    return !used
        || state.left.containsKey(i.id())
        || now - state.leadsSince >= state.stallMillis + PlannerState.STALL_MARGIN_MILLIS;
  }

  boolean isLost(FleetInstance i) {
    return i.phase() == InstancePhase.GONE || ages.getOrDefault(i.id(), 0L) > state.silentMillis;
  }

  private int activeAt(String head) {
    HeadLoad l = loads.get(head);
    return l == null ? 0 : l.active();
  }

  /** Returns what the entries see at the head of a group, or null. */
  private @Nullable HeadLoad loadOf(GroupView g) {
    FleetInstance head = g.head();
    HeadLoad l = head == null ? null : loads.get(head.id());
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

  private void order(
      FleetOrder.Kind kind,
      FleetInstance to,
      String group,
      long epoch,
      String model,
      List<String> members) {
    send(new FleetOrder(kind, to.id(), to.address(), group, epoch, model, members, state.term));
  }

  boolean send(FleetOrder o) {
    boolean due = state.book.send(o, now);
    if (due) {
      orders.add(o);
    }
    return due;
  }

  /**
   * Groups of one model that make room for a group of another.
   *
   * @param groups the groups to dissolve
   * @param cost the instances that stop serving, and those that stay over
   */
  private record Conversion(List<GroupView> groups, int cost) {}
}
