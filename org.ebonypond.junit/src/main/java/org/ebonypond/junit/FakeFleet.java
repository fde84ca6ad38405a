package org.ebonypond.junit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetOrder;
import org.ebonypond.fleet.FleetPlanner;
import org.ebonypond.fleet.GroupMembership;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.MemberState;
import org.ebonypond.fleet.OrderOutcome;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/**
 * Engines that form groups on {@link FleetOrder}s, on a manual clock. Two invariants are checked: a
 * group opens only after all of its members were ready, and an instance joins another group only
 * when the head of its old one cannot serve any more. A head that stands still counts as one that
 * may serve until it has found its group broken, since it goes on when it wakes.
 */
public final class FakeFleet {
  /** The heartbeat period, in milliseconds. */
  public static final long HEARTBEAT_MILLIS = 1_200;

  /** The time after which a head with a missing member declares its group broken, in ms. */
  public static final long STALL_MILLIS = 5_000;

  private static final String SERVICE = "engines";
  private static final long REJOIN_MILLIS = 200;

  private final EngineProfile engine;
  private final Random random;
  private InstanceTable table = new InstanceTable(service -> true);
  private final Map<String, Engine> engines = new TreeMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
  private final List<String> violations = new ArrayList<>();
  private final List<Long> loadStarts = new ArrayList<>();
  private final Set<String> readyMembers = new HashSet<>();
  private double lostAnswerRate;
  private long maxHeartbeatDelay;
  private int lastPort;
  private long now;
  private long orders;
  private Predicate<FleetOrder> unanswered = o -> false;
  private final List<FleetOrder> withheld = new ArrayList<>();

  /**
   * Creates engines that have no weights staged and belong to no group.
   *
   * @param domains the number of fabric domains
   * @param perDomain the number of engines in each domain
   */
  public FakeFleet(EngineProfile engine, int domains, int perDomain, long seed) {
    this.engine = engine;
    this.random = new Random(seed);
    for (int d = 0; d < domains; d++) {
      for (int i = 0; i < perDomain; i++) {
        add("d" + d, "d" + d + "-i" + i);
      }
    }
  }

  /** Returns a profile with two models, whose groups have four and two instances. */
  public static EngineProfile twoModels() {
    return new EngineProfile(
        18,
        969_230,
        6.07,
        0.348,
        0.007,
        46_000,
        5,
        4,
        300,
        List.of(
            new ModelProfile("large", 4, 0.67, 1, 16_000, 1_600),
            new ModelProfile("small", 2, 0.33, 0.6, 12_000, 1_100)));
  }

  /** Adds an engine that has just started. */
  public void add(String domain, String id) {
    engines.put(id, new Engine(id, domain, newAddress(), now));
  }

  private String newAddress() {
    lastPort++;
    return "10.0.0.1:" + lastPort;
  }

  /** Returns the time in milliseconds. */
  public long now() {
    return now;
  }

  /** Returns the table that receives the heartbeats. */
  public InstanceTable table() {
    return table;
  }

  /** Returns the violations of the invariants so far. */
  public List<String> violations() {
    return violations;
  }

  /** Returns the identifiers of all engines. */
  public Collection<String> ids() {
    return engines.keySet();
  }

  /** Returns the number of orders that planners gave. */
  public long orders() {
    return orders;
  }

  /** Sets the fraction of orders that get no answer and are executed 2 to 12 s later. */
  public void setLostAnswerRate(double rate) {
    lostAnswerRate = rate;
  }

  /**
   * Restarts all control replicas, which know of the instances only what they report from now on.
   */
  public void restartControl() {
    table = new InstanceTable(service -> true);
  }

  /** Sets the maximum delay of heartbeats, which then arrive out of order, in milliseconds. */
  public void setMaxHeartbeatDelay(long millis) {
    maxHeartbeatDelay = millis;
  }

  /** Kills a process without notice; its host refuses connections. */
  public void crash(String id) {
    engine(id).alive = false;
  }

  /** Restarts an engine: cold and in no group, with the weights that its host has staged. */
  public void restart(String id) {
    Engine old = engine(id);
    Engine e = new Engine(id, old.domain, old.address, now);
    e.staged = old.staged;
    engines.put(id, e);
  }

  /** Kills a process and starts another one under a new identifier at the same address. */
  public void replace(String id, String newId) {
    Engine old = engine(id);
    old.alive = false;
    Engine e = new Engine(newId, old.domain, old.address, now);
    e.staged = old.staged;
    engines.put(newId, e);
  }

  /** Makes an engine refuse connections for orders for a while; everything else goes on. */
  public void refuseOrders(String id, long millis) {
    engine(id).refusesUntil = now + millis;
  }

  /**
   * Sets whether connections between an engine and the control replicas are refused in both
   * directions; requests still reach it.
   */
  public void setRefusingCut(String id, boolean value) {
    engine(id).refusingCut = value;
  }

  /** Sets whether another instance answers the orders to an engine, which serves on. */
  public void setMisdirected(String id, boolean value) {
    engine(id).misdirected = value;
  }

  /** Sets whether an engine refuses to leave its group while it is the head of an open one. */
  public void setLeaveConflicts(String id, boolean value) {
    engine(id).leaveConflicts = value;
  }

  /** Makes the next order of a kind to an engine get no answer; it is executed after a delay. */
  public void delayOrder(String id, FleetOrder.Kind kind, long millis) {
    engine(id).delays.put(kind, millis);
  }

  /** Returns whether no order of a kind has been sent since {@link #delayOrder}. */
  public boolean isDelayPending(String id, FleetOrder.Kind kind) {
    return engine(id).delays.containsKey(kind);
  }

  /**
   * Sets which orders get no answer and are kept until {@link #executeWithheld}.
   *
   * @param condition called once for each order
   */
  public void setUnanswered(Predicate<FleetOrder> condition) {
    unanswered = condition;
  }

  /** Executes the orders that got no answer, were kept, and meet a condition. */
  public void executeWithheld(Predicate<FleetOrder> condition) {
    List<FleetOrder> late = withheld.stream().filter(condition).toList();
    withheld.removeAll(late);
    late.forEach(this::execute);
  }

  /** Makes an engine execute an order, which an earlier leader sent, after a delay. */
  public void executeLate(FleetOrder order, long millis) {
    schedule(now + millis, () -> execute(order));
  }

  /**
   * Makes a process stand still for a while: it executes nothing, sends nothing and does not count
   * the time of a missing member.
   *
   * @param executeOrders whether it then executes the orders that have arrived meanwhile
   */
  public void freeze(String id, long millis, boolean executeOrders) {
    Engine e = engine(id);
    if (!e.isFrozen()) {
      e.frozenSince = now;
      schedule(now + millis, () -> wake(e, executeOrders));
    }
  }

  private void wake(Engine e, boolean executeOrders) {
    if (engines.get(e.id) != e || !e.alive) {
      return;
    }
    e.frozenSince = -1;
    e.nextHeartbeat = now;
    if (e.group != null) {
      e.group.stalledSince = -1;
    }
    List<FleetOrder> waiting = List.copyOf(e.waitingOrders);
    e.waitingOrders.clear();
    if (executeOrders) {
      waiting.forEach(this::execute);
    }
  }

  /** Sets whether an engine is cut off from the control replicas; requests still reach it. */
  public void setCutOff(String id, boolean value) {
    engine(id).cutOff = value;
  }

  /**
   * Ends the faults that keep an engine out of reach, and restarts it if it has ended or is about
   * to.
   */
  public void heal(String id) {
    Engine e = engine(id);
    if (!e.alive || e.deregistered || e.phase == InstancePhase.DRAINING) {
      restart(id);
      return;
    }
    e.cutOff = false;
    e.refusingCut = false;
    e.misdirected = false;
    e.leaveConflicts = false;
    e.delays.clear();
  }

  /** Returns the engines that are ready for orders and in no group. */
  public List<String> unused() {
    List<String> out = new ArrayList<>();
    for (Engine e : engines.values()) {
      if (e.alive && e.phase == InstancePhase.READY && !e.deregistered && e.group == null) {
        out.add(e.id);
      }
    }
    return out;
  }

  /** Makes an engine deregister and continue to serve, as one does that ends some time later. */
  public void deregister(String id) {
    engine(id).deregistered = true;
    table.remove(id, 0, now);
  }

  /** Makes an engine announce that it will stop. */
  public void drain(String id) {
    Engine e = engine(id);
    e.phase = InstancePhase.DRAINING;
    e.nextHeartbeat = now;
  }

  /** Returns the number of groups of a model that serve requests with all of their members. */
  public int serving(String model) {
    int n = 0;
    for (Engine e : engines.values()) {
      Group g = e.group;
      boolean head = g != null && e.alive && g.rank == 0 && g.state == MemberState.OPEN;
      if (head && g.model.equals(model) && isComplete(g)) {
        n++;
      }
    }
    return n;
  }

  /** Returns whether an engine is in a group that serves requests with all of its members. */
  public boolean serves(String id) {
    Group g = engine(id).group;
    Group headGroup = g == null ? null : engine(g.members.get(0)).group;
    return headGroup != null
        && headGroup.name.equals(g.name)
        && headGroup.state == MemberState.OPEN
        && isComplete(headGroup);
  }

  /** Returns the head of a group that serves a model, or null if there is none. */
  public @Nullable String head(String model) {
    for (Engine e : engines.values()) {
      Group g = e.group;
      if (g != null && e.alive && g.state == MemberState.OPEN && g.model.equals(model)) {
        return e.id;
      }
    }
    return null;
  }

  /** Returns the members of the group of an engine, head first, or an empty list. */
  public List<String> membersOf(String id) {
    Group g = engine(id).group;
    return g == null ? List.of() : g.members;
  }

  /** Forgets the loads so far; those before the first request are not limited. */
  public void forgetLoads() {
    loadStarts.clear();
  }

  /** Returns the maximum number of loads from the weight store that began within a window. */
  public int maxLoads(long windowMillis) {
    int max = 0;
    for (int i = 0; i < loadStarts.size(); i++) {
      int n = 0;
      for (int j = i;
          j < loadStarts.size() && loadStarts.get(j) - loadStarts.get(i) < windowMillis;
          j++) {
        n++;
      }
      max = Math.max(max, n);
    }
    return max;
  }

  /** Returns the loads that entries observe at the heads; a stalled head sends no events. */
  public Map<String, InstanceLoad> loads() {
    Map<String, InstanceLoad> out = new HashMap<>();
    for (Engine e : engines.values()) {
      Group g = e.group;
      if (g != null && g.rank == 0 && g.state == MemberState.OPEN) {
        boolean isStalled = !e.alive || e.isFrozen() || g.stalledSince >= 0;
        long since = g.stalledSince;
        if (!e.alive) {
          since = now - HEARTBEAT_MILLIS;
        } else if (e.isFrozen()) {
          since = e.frozenSince;
        }
        long idle = isStalled ? Math.max(0, now - since) : 20;
        out.put(e.id, new InstanceLoad(e.id, g.epoch, 3, 0, idle, idle > 300 ? idle : 0));
      }
    }
    return out;
  }

  /** Advances the time without a planner. */
  public void run(long millis) {
    run(null, millis, false);
  }

  /** Advances the time in steps of 50 ms and runs the planner, if it is not null, every 100 ms. */
  public void run(@Nullable FleetPlanner planner, long millis, boolean beforeTraffic) {
    long end = now + millis;
    while (now < end) {
      now += 50;
      while (!events.isEmpty() && events.peek().at <= now) {
        events.poll().task.run();
      }
      engines.values().forEach(this::advance);
      engines.values().forEach(this::sendHeartbeat);
      if (planner != null && now % 100 == 0) {
        planner
            .plan(table.all(now), loads(), SERVICE, engine, beforeTraffic, now)
            .forEach(o -> send(planner, o));
      }
    }
  }

  private void send(FleetPlanner planner, FleetOrder o) {
    orders++;
    long arrival = now + 5;
    Engine e = engines.get(o.instance());
    if (e == null || e.cutOff) {
      schedule(
          now + FleetOrder.TIMEOUT_MILLIS, () -> planner.answered(o, OrderOutcome.UNKNOWN, now));
      return;
    }
    if (!e.alive || e.misdirected || e.refusesOrders(now)) {
      boolean otherListens = e.misdirected || !e.alive && listensAt(o.address());
      OrderOutcome outcome = otherListens ? OrderOutcome.MISDIRECTED : OrderOutcome.REFUSED;
      schedule(arrival, () -> planner.answered(o, outcome, now));
      return;
    }
    if (unanswered.test(o)) {
      withheld.add(o);
      schedule(
          now + FleetOrder.TIMEOUT_MILLIS, () -> planner.answered(o, OrderOutcome.UNKNOWN, now));
      return;
    }
    Long delay = e.delays.remove(o.kind());
    if (delay == null && random.nextDouble() < lostAnswerRate) {
      delay = 2_000L + random.nextInt(10_000);
    }
    if (delay != null || e.isFrozen()) {
      schedule(arrival + (delay == null ? 0 : delay), () -> execute(o));
      schedule(
          now + FleetOrder.TIMEOUT_MILLIS, () -> planner.answered(o, OrderOutcome.UNKNOWN, now));
    } else {
      schedule(
          arrival,
          () -> {
            OrderOutcome outcome = execute(o);
            schedule(now + 5, () -> planner.answered(o, outcome, now));
          });
    }
  }

  private boolean listensAt(String address) {
    return engines.values().stream().anyMatch(e -> e.alive && e.address.equals(address));
  }

  private OrderOutcome execute(FleetOrder o) {
    Engine e = engines.get(o.instance());
    if (e == null || !e.alive) {
      return OrderOutcome.UNKNOWN;
    }
    if (e.isFrozen()) {
      e.waitingOrders.add(o);
      return OrderOutcome.UNKNOWN;
    }
    if (o.fencing() < e.fencing) {
      return OrderOutcome.FENCED;
    }
    e.fencing = o.fencing();
    return switch (o.kind()) {
      case JOIN -> join(e, o);
      case OPEN -> open(e, o);
      case CLOSE, CUT -> close(e, o);
      case LEAVE -> leave(e, o);
      case STAGE -> stage(e, o);
    };
  }

  private OrderOutcome join(Engine e, FleetOrder o) {
    Group g = e.group;
    if (g != null && g.epoch == o.epoch() && g.name.equals(o.group())) {
      return OrderOutcome.HOLDS;
    }
    if (o.epoch() < e.highestEpoch) {
      return OrderOutcome.FENCED;
    }
    Group old = g != null ? g : e.leftGroup;
    if (old != null && !old.isOf(o)) {
      checkOldGroupIsClosed(e, old);
    }
    long duration = joinMillis(e, o.model());
    e.highestEpoch = o.epoch();
    e.group = new Group(o, o.members().indexOf(e.id));
    e.group.readyAt = now + duration;
    e.lastModel = o.model();
    e.nextHeartbeat = now;
    return OrderOutcome.ACCEPTED;
  }

  private long joinMillis(Engine e, String name) {
    ModelProfile m = engine.model(name);
    if (m == null) {
      throw new IllegalArgumentException("no model " + name);
    }
    if (e.lastModel.equals(name)) {
      return REJOIN_MILLIS;
    }
    if (e.staged.equals(name)) {
      return m.warmMillis();
    }
    loadStarts.add(now);
    e.staged = name;
    return m.loadMillis();
  }

  private void checkOldGroupIsClosed(Engine e, Group g) {
    Engine head = engines.get(g.members.get(0));
    Group headGroup = head == null || !head.alive ? null : head.group;
    boolean same = headGroup != null && headGroup.name.equals(g.name) && headGroup.epoch == g.epoch;
    if (same && (headGroup.state == MemberState.OPEN || headGroup.state == MemberState.CLOSING)) {
      String state = head.isFrozen() ? "stands still" : "may serve";
      violations.add(now + ": " + e.id + " joins another group while " + g.name + " " + state);
    }
  }

  private OrderOutcome open(Engine e, FleetOrder o) {
    Group g = e.group;
    if (g == null || !g.isOf(o) || g.rank != 0 || g.state == MemberState.JOINING) {
      return OrderOutcome.CONFLICT;
    }
    if (g.state == MemberState.OPEN) {
      return OrderOutcome.HOLDS;
    }
    for (String id : g.members) {
      // The order is valid if a member was ready and has been lost since, because the planner may
      // not know of the loss yet.
      if (!readyMembers.contains(id + "/" + g.name + "/" + g.epoch)) {
        violations.add(now + ": " + g.name + " opens, and " + id + " was never ready");
      }
    }
    g.openAt = now + engine.openMillis();
    return OrderOutcome.ACCEPTED;
  }

  private OrderOutcome close(Engine e, FleetOrder o) {
    Group g = e.group;
    if (g == null || !g.isOf(o)) {
      return OrderOutcome.CONFLICT;
    }
    if (g.state != MemberState.OPEN) {
      return OrderOutcome.HOLDS;
    }
    g.state = MemberState.CLOSING;
    g.closedAt = now + (o.kind() == FleetOrder.Kind.CUT ? 0 : 800);
    e.nextHeartbeat = now;
    return OrderOutcome.ACCEPTED;
  }

  private OrderOutcome leave(Engine e, FleetOrder o) {
    Group g = e.group;
    if (g != null && g.isOf(o) && g.rank == 0 && g.state == MemberState.OPEN && e.leaveConflicts) {
      return OrderOutcome.CONFLICT;
    }
    if (g != null && g.isOf(o)) {
      e.leftGroup = g;
      e.group = null;
      e.nextHeartbeat = now;
    }
    return OrderOutcome.HOLDS;
  }

  private OrderOutcome stage(Engine e, FleetOrder o) {
    if (e.staged.equals(o.model())) {
      return OrderOutcome.HOLDS;
    }
    ModelProfile m = engine.model(o.model());
    loadStarts.add(now);
    schedule(
        now + (m == null ? 0 : m.loadMillis()),
        () -> {
          e.staged = o.model();
          e.nextHeartbeat = now;
        });
    return OrderOutcome.ACCEPTED;
  }

  private boolean isComplete(Group g) {
    for (String id : g.members) {
      Engine m = engines.get(id);
      Group other = m == null || !m.alive || m.isFrozen() ? null : m.group;
      boolean in = other != null && other.name.equals(g.name) && other.epoch == g.epoch;
      if (!in || other.state == MemberState.JOINING) {
        return false;
      }
    }
    return true;
  }

  private void advance(Engine e) {
    Group g = e.group;
    if (!e.alive || e.isFrozen() || g == null) {
      return;
    }
    final MemberState before = g.state;
    if (g.state == MemberState.JOINING && now >= g.readyAt) {
      g.state = MemberState.READY;
      readyMembers.add(e.id + "/" + g.name + "/" + g.epoch);
    }
    if (g.state == MemberState.READY && g.openAt >= 0 && now >= g.openAt) {
      g.state = MemberState.OPEN;
      g.openAt = -1;
    }
    if (g.state == MemberState.CLOSING && now >= g.closedAt) {
      g.state = MemberState.READY;
    }
    if (g.rank == 0 && (g.state == MemberState.OPEN || g.state == MemberState.CLOSING)) {
      if (isComplete(g)) {
        g.stalledSince = -1;
      } else if (g.stalledSince < 0) {
        g.stalledSince = now;
      } else if (now - g.stalledSince >= STALL_MILLIS) {
        g.state = MemberState.BROKEN;
      }
    }
    if (g.state != before) {
      e.nextHeartbeat = now;
    }
  }

  private void sendHeartbeat(Engine e) {
    if (!e.alive || e.isFrozen() || e.deregistered || now < e.nextHeartbeat) {
      return;
    }
    e.nextHeartbeat = now + HEARTBEAT_MILLIS;
    if (e.cutOff || e.refusingCut) {
      return;
    }
    FleetInstance record = e.record();
    if (maxHeartbeatDelay == 0) {
      table.merge(record, 0, now);
    } else {
      long delay = random.nextInt((int) maxHeartbeatDelay);
      schedule(now + delay, () -> table.merge(record, 0, now));
    }
  }

  private void schedule(long time, Runnable task) {
    events.add(new Event(time, task));
  }

  private Engine engine(String id) {
    Engine e = engines.get(id);
    if (e == null) {
      throw new IllegalArgumentException("no engine " + id);
    }
    return e;
  }

  private record Event(long at, Runnable task) {}

  private static final class Group {
    final String name;
    final long epoch;
    final String model;
    final List<String> members;
    final int rank;
    MemberState state = MemberState.JOINING;
    long readyAt;
    long openAt = -1;
    long closedAt;
    long stalledSince = -1;

    Group(FleetOrder o, int rank) {
      name = o.group();
      epoch = o.epoch();
      model = o.model();
      members = o.members();
      this.rank = rank;
    }

    boolean isOf(FleetOrder o) {
      return name.equals(o.group()) && epoch == o.epoch();
    }
  }

  private static final class Engine {
    final String id;
    final String domain;
    final String address;
    final long startMillis;
    boolean alive = true;
    boolean cutOff;
    boolean refusingCut;
    boolean misdirected;
    boolean leaveConflicts;
    long refusesUntil = -1;

    /** The time since which the process stands still, or -1. */
    long frozenSince = -1;

    /** The orders that have arrived since then. */
    final List<FleetOrder> waitingOrders = new ArrayList<>();

    /** The delay of the next order of each kind. */
    final Map<FleetOrder.Kind, Long> delays = new EnumMap<>(FleetOrder.Kind.class);

    boolean deregistered;
    InstancePhase phase = InstancePhase.READY;
    String lastModel = "";
    String staged = "";
    @Nullable Group group;

    /** The group that it left last, whose head may wait for it. */
    @Nullable Group leftGroup;

    long fencing;
    long highestEpoch;
    long nextHeartbeat;
    long sequence;

    Engine(String id, String domain, String address, long startMillis) {
      this.id = id;
      this.domain = domain;
      this.address = address;
      this.startMillis = startMillis;
      nextHeartbeat = startMillis;
    }

    boolean isFrozen() {
      return frozenSince >= 0;
    }

    boolean refusesOrders(long now) {
      return refusingCut || now < refusesUntil;
    }

    FleetInstance record() {
      sequence++;
      Group g = group;
      return new FleetInstance(
          id,
          startMillis,
          sequence,
          SERVICE,
          address,
          "zone-" + domain,
          phase,
          18,
          0,
          domain,
          g == null ? List.of() : List.of(g.model),
          staged.isEmpty() ? List.of() : List.of(staged),
          g == null ? null : new GroupMembership(g.name, g.epoch, g.rank, g.state),
          "");
    }
  }
}
