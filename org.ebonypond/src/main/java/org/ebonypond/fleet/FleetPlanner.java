package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.serving.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * Forms, opens and repairs the groups of engines. It belongs to the control leader and derives what
 * it needs from the latest heartbeats, so that a new leader can take over at any point. Not
 * thread-safe; holds no thread, socket or clock.
 *
 * <p>A member may join another group only when the head of its group can no longer serve: the head
 * has reported so, has confirmed that it left the group, or has been without this member for as
 * long as a head takes to notice that.
 */
public final class FleetPlanner {
  /** Heartbeats of a later leader may be this late when it takes over, in milliseconds. */
  private static final long SETTLE_MILLIS = 500;

  /** Added to the time after which a head notices a lost member, for late messages. */
  private static final long STALL_MARGIN_MILLIS = 500;

  /** A head that produced events within this time has all of its members. */
  private static final long PROGRESS_MILLIS = 1_500;

  /** The heartbeats of the members that show one change arrive within this time. */
  private static final long INCOMPLETE_MILLIS = 1_200;

  /** An instance that left orders unanswered is passed over for this long, in milliseconds. */
  private static final long AVOID_MILLIS = 8_000;

  /** Orders that got no answer are repeated this often before the group is given up. */
  private static final int MAX_JOIN_TRIES = 3;

  /** Groups that are not ready after this multiple of the expected load time are given up. */
  private static final double LOAD_PATIENCE = 4;

  private static final long PATIENCE_MILLIS = 5_000;
  private static final long KEEP_ORDERS_MILLIS = 120_000;
  private static final int EPOCH_BITS = 24;

  private final long silentMillis;
  private final long stallMillis;
  private final LoadCeiling ceiling;
  private final OrderBook book = new OrderBook();
  private final Map<String, PlannedGroup> planned = new LinkedHashMap<>();
  private final Map<String, Long> quarantine = new HashMap<>();
  private final Map<String, Long> avoid = new HashMap<>();
  private final Map<String, String> left = new HashMap<>();
  private final Map<String, Long> incompleteSince = new HashMap<>();
  private long term = -1;
  private long leadsSince;
  private long epochs;

  /**
   * Creates a planner.
   *
   * @param silentMillis the silence after which an instance counts as lost, in milliseconds
   * @param stallMillis the time after which a head notices that a member is missing
   * @param ceiling bounds the loads from the weight store
   */
  public FleetPlanner(long silentMillis, long stallMillis, LoadCeiling ceiling) {
    this.silentMillis = silentMillis;
    this.stallMillis = stallMillis;
    this.ceiling = ceiling;
  }

  /**
   * Begins a leadership.
   *
   * @param newTerm the term, higher than those of earlier leaders
   * @param first whether no leader can have given orders before
   */
  public void lead(long newTerm, boolean first, double loadsPerSecond, long now) {
    term = newTerm;
    epochs = newTerm << EPOCH_BITS;
    leadsSince = first ? now - SETTLE_MILLIS - stallMillis - STALL_MARGIN_MILLIS : now;
    book.clear();
    planned.clear();
    quarantine.clear();
    left.clear();
    incompleteSince.clear();
    avoid.clear();
    if (!first) {
      ceiling.assumeFull(ceiling.capacity(loadsPerSecond), now);
    }
  }

  /** Returns the term of the leadership, or -1. */
  public long term() {
    return term;
  }

  /**
   * Decides the next orders for one service.
   *
   * @param all the records of all instances
   * @param loads the work under way at each head
   * @param service the name of the service
   * @param engine its engines
   * @param now the time in milliseconds
   */
  public List<FleetOrder> plan(
      List<InstanceUpdate> all,
      Map<String, HeadLoad> loads,
      String service,
      EngineProfile engine,
      long now) {
    if (now - leadsSince < SETTLE_MILLIS) {
      return List.of();
    }
    book.prune(now, KEEP_ORDERS_MILLIS);
    Tick t = new Tick(engine, loads, now);
    for (InstanceUpdate u : all) {
      if (u.instance().service().equals(service)) {
        t.add(u);
      }
    }
    incompleteSince.keySet().retainAll(t.groups.keySet());
    t.reviewGroups();
    t.reviewPlans();
    t.form();
    t.stageSpares();
    return t.orders;
  }

  /** Takes the outcome of an order. */
  public void answered(FleetOrder o, OrderOutcome outcome, long now) {
    book.answered(o, outcome, now);
    boolean done = outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS;
    if (o.kind() == FleetOrder.Kind.LEAVE && (done || outcome == OrderOutcome.CONFLICT)) {
      left.put(o.instance(), GroupView.key(o.group(), o.epoch()));
    }
    if (outcome == OrderOutcome.ABSENT) {
      avoid.put(o.instance(), now + AVOID_MILLIS);
    }
    if (o.kind() == FleetOrder.Kind.JOIN && !done) {
      boolean again = outcome == OrderOutcome.UNKNOWN && book.tries(o) < MAX_JOIN_TRIES;
      if (!again) {
        planned.remove(GroupView.key(o.group(), o.epoch()));
        if (outcome == OrderOutcome.UNKNOWN) {
          avoid.put(o.instance(), now + AVOID_MILLIS);
        }
      }
    }
  }

  /** The state of one planning round. */
  private final class Tick {
    final EngineProfile engine;
    final Map<String, HeadLoad> loads;
    final long now;
    final List<FleetOrder> orders = new ArrayList<>();
    final Map<String, FleetInstance> instances = new TreeMap<>();
    final Map<String, Long> ages = new HashMap<>();
    final Map<String, GroupView> groups = new TreeMap<>();
    final Set<String> taken = new HashSet<>();
    final Map<String, Integer> counts = new HashMap<>();

    Tick(EngineProfile engine, Map<String, HeadLoad> loads, long now) {
      this.engine = engine;
      this.loads = loads;
      this.now = now;
    }

    void add(InstanceUpdate u) {
      FleetInstance i = u.instance();
      GroupMembership g = i.group();
      instances.put(i.id(), i);
      ages.put(i.id(), u.ageMillis());
      if (g == null) {
        left.remove(i.id());
        return;
      }
      GroupName parts = GroupName.parse(g.name());
      if (parts == null || GroupView.key(g.name(), g.epoch()).equals(left.get(i.id()))) {
        return;
      }
      groups
          .computeIfAbsent(
              GroupView.key(g.name(), g.epoch()), k -> new GroupView(g.name(), g.epoch(), parts))
          .members
          .put(g.rank(), i);
      epochs = Math.max(epochs, g.epoch());
    }

    /** Opens groups that are ready, and takes apart those that cannot serve any more. */
    void reviewGroups() {
      for (GroupView g : groups.values()) {
        PlannedGroup p = planned.get(g.key());
        FleetInstance head = g.head();
        MemberState state = g.headState();
        boolean progresses = head != null && progresses(head.id());
        boolean lost = state == MemberState.BROKEN;
        boolean draining = false;
        for (FleetInstance m : g.members.values()) {
          lost |= isLost(m) && !progresses;
          draining |= m.phase() == InstancePhase.DRAINING;
        }
        if (lost || isLongIncomplete(g, p)) {
          planned.remove(g.key());
          takeApart(g);
        } else if (draining) {
          retire(g);
        } else {
          g.members.values().forEach(m -> taken.add(m.id()));
          counts.merge(g.parts.model(), 1, Integer::sum);
          if (head != null && g.isReady()) {
            planned.remove(g.key());
            order(FleetOrder.Kind.OPEN, head, g.name, g.epoch, g.parts.model(), List.of());
          }
        }
      }
    }

    /** Returns whether a member of a group has not reported, or has restarted, for some time. */
    private boolean isLongIncomplete(GroupView g, @Nullable PlannedGroup p) {
      if (g.isComplete() || p != null) {
        incompleteSince.remove(g.key());
        return false;
      }
      return now - incompleteSince.computeIfAbsent(g.key(), k -> now) >= INCOMPLETE_MILLIS;
    }

    /** Frees the members of a group that has lost one, as soon as its head cannot serve. */
    private void takeApart(GroupView g) {
      FleetInstance head = g.head();
      boolean headLost = head == null || isLost(head);
      MemberState state = g.headState();
      boolean mayServe =
          state != MemberState.BROKEN
              && (state == MemberState.OPEN
                  || state == MemberState.CLOSING
                  || now - leadsSince < KEEP_ORDERS_MILLIS && !wasPlannedHere(g)
                  || book.wasSent(FleetOrder.Kind.OPEN, idOf(head), g.name, g.epoch));
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
            quarantine.put(m.id(), now + stallMillis + STALL_MARGIN_MILLIS);
          }
        }
      }
    }

    /** Ends the service of a group with a member that leaves. */
    private void retire(GroupView g) {
      FleetInstance head = g.head();
      MemberState state = g.headState();
      if (head == null || isLost(head)) {
        takeApart(g);
        return;
      }
      if (state == MemberState.OPEN) {
        order(FleetOrder.Kind.CLOSE, head, g.name, g.epoch, "", List.of());
      }
      if (state == MemberState.OPEN || state == MemberState.CLOSING) {
        g.members.values().forEach(m -> taken.add(m.id()));
        return;
      }
      takeApart(g);
    }

    private boolean wasPlannedHere(GroupView g) {
      FleetInstance head = g.head();
      return head != null && book.wasSent(FleetOrder.Kind.JOIN, head.id(), g.name, g.epoch);
    }

    private String idOf(@Nullable FleetInstance i) {
      return i == null ? "" : i.id();
    }

    /** Repeats joins that are not confirmed, and gives up groups that do not become ready. */
    void reviewPlans() {
      List<PlannedGroup> plans = new ArrayList<>(planned.values());
      for (PlannedGroup p : plans) {
        boolean failed = now > p.readyBy();
        for (String id : p.members()) {
          FleetInstance m = instances.get(id);
          failed |= m == null || isLost(m) || m.phase() != InstancePhase.READY;
        }
        if (failed) {
          planned.remove(GroupView.key(p.name(), p.epoch()));
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
          OrderOutcome done = book.outcome(o);
          if (!joined && done != OrderOutcome.ACCEPTED && done != OrderOutcome.HOLDS) {
            send(o);
          }
        }
      }
    }

    /** Forms groups from free instances, the most useful one first. */
    void form() {
      Map<String, List<FleetInstance>> domains = freeByDomain();
      GroupFormation f = new GroupFormation(engine, counts, instances.values(), this::isLost);
      while (true) {
        GroupFormation.Choice c = f.best(domains, ceiling.available(engine.loadsPerSecond(), now));
        if (c == null) {
          return;
        }
        ceiling.take(c.loads(), now);
        counts.merge(c.model().name(), 1, Integer::sum);
        domains.get(c.domain()).removeAll(c.members());
        epochs++;
        GroupName name = new GroupName(c.model().name(), c.model().groupSize(), epochs);
        List<String> ids = c.members().stream().map(FleetInstance::id).toList();
        long readyBy = now + PATIENCE_MILLIS + (long) (c.readyMillis() * LOAD_PATIENCE);
        PlannedGroup p = new PlannedGroup(name.text(), epochs, c.model().name(), ids, now, readyBy);
        planned.put(GroupView.key(p.name(), p.epoch()), p);
        taken.addAll(ids);
        c.members().forEach(m -> send(join(p, m)));
      }
    }

    /** Loads a model onto the hosts of instances that no group needs now, for later repairs. */
    void stageSpares() {
      for (List<FleetInstance> spares : freeByDomain().values()) {
        for (FleetInstance i : spares) {
          String model = spareModel();
          if (model.isEmpty() || i.staged().contains(model)) {
            continue;
          }
          if (ceiling.available(engine.loadsPerSecond(), now) > 0) {
            FleetOrder o =
                new FleetOrder(
                    FleetOrder.Kind.STAGE, i.id(), i.address(), "", 0, model, List.of(), term);
            OrderOutcome done = book.outcome(o);
            if (done == OrderOutcome.ACCEPTED || done == OrderOutcome.HOLDS) {
              continue;
            }
            if (send(o)) {
              ceiling.take(1, now);
            }
          }
        }
      }
    }

    /** Returns the model whose groups are lost most often: the one that spans most instances. */
    private String spareModel() {
      String model = "";
      int size = 0;
      for (var m : engine.models()) {
        if (m.groupSize() > size) {
          size = m.groupSize();
          model = m.name();
        }
      }
      return model;
    }

    private Map<String, List<FleetInstance>> freeByDomain() {
      Map<String, List<FleetInstance>> out = new TreeMap<>();
      for (FleetInstance i : instances.values()) {
        if (isFree(i)) {
          String domain = i.domain().isEmpty() ? "zone " + i.zone() : i.domain();
          out.computeIfAbsent(domain, d -> new ArrayList<>()).add(i);
        }
      }
      return out;
    }

    private boolean isFree(FleetInstance i) {
      if (i.phase() != InstancePhase.READY || isLost(i) || taken.contains(i.id())) {
        return false;
      }
      if (now < quarantine.getOrDefault(i.id(), Long.MIN_VALUE)
          || now < avoid.getOrDefault(i.id(), Long.MIN_VALUE)) {
        return false;
      }
      // An instance with a model was in a group. Its head may wait for it if an earlier leader
      // ordered it to leave.
      boolean used = !i.models().isEmpty() && i.group() == null;
      return !used
          || left.containsKey(i.id())
          || now - leadsSince >= stallMillis + STALL_MARGIN_MILLIS;
    }

    private boolean isLost(FleetInstance i) {
      return i.phase() == InstancePhase.GONE || ages.getOrDefault(i.id(), 0L) > silentMillis;
    }

    private boolean progresses(String head) {
      HeadLoad l = loads.get(head);
      return l != null && l.active() > 0 && l.idleMillis() < PROGRESS_MILLIS;
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
          term);
    }

    private void order(
        FleetOrder.Kind kind,
        FleetInstance to,
        String group,
        long epoch,
        String model,
        List<String> members) {
      send(new FleetOrder(kind, to.id(), to.address(), group, epoch, model, members, term));
    }

    private boolean send(FleetOrder o) {
      boolean due = book.send(o, now);
      if (due) {
        orders.add(o);
      }
      return due;
    }
  }
}
