package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * Selects the group or the plain service instance for a request and reserves capacity there.
 * Thread-safe; each decision uses one immutable routing table.
 */
public final class Router {
  /** The load in tokens of a plain call, which makes it comparable with the zone penalty. */
  static final long CALL_TOKENS = 64;

  /** A pool counts as saturated while at most this many targets have a free slot. */
  private static final int SATURATED_MAX_FREE = 4;

  private static final int STRIPES = 16;

  private final RouterSettings settings;
  private final RoutingPolicy policy;
  private final RouterState state;
  private final SlotLimiter slots;
  private final EventSink events;
  private final Stripe[] stripes = new Stripe[STRIPES];
  private final AtomicLong sequence = new AtomicLong();
  private final Closer closer = new Closer();
  private volatile Snapshot snapshot;

  /**
   * Creates a router with an empty table.
   *
   * @param settings the settings
   * @param policy the policy that ranks targets
   * @param state the entry's estimates of loads, caches and latencies
   * @param slots limits the requests at starting backend servers
   * @param events receives an event for each target ejected or restored
   * @param random seeds the random sources of all decisions
   */
  public Router(
      RouterSettings settings,
      RoutingPolicy policy,
      RouterState state,
      SlotLimiter slots,
      EventSink events,
      RandomGenerator random) {
    this.settings = settings;
    this.policy = policy;
    this.state = state;
    this.slots = slots;
    this.events = events;
    for (int i = 0; i < STRIPES; i++) {
      stripes[i] = new Stripe(random.nextLong());
    }
    this.snapshot = Snapshot.of(RoutingTable.EMPTY, settings);
  }

  /** Replaces the routing table by that of a new control view; later decisions use it. */
  public void onView(ControlView view) {
    onTable(RoutingTable.of(view));
  }

  /** Replaces the routing table; later decisions use the new one. */
  public void onTable(RoutingTable table) {
    Snapshot s = Snapshot.of(table, settings);
    state.suspicion().onView(table.view());
    snapshot = s;
    Set<String> keys = new HashSet<>();
    Set<String> preferredKeys = new HashSet<>();
    for (TargetPool p : s.pools.values()) {
      p.all().forEach(t -> keys.add(t.key()));
      p.subset().forEach(t -> preferredKeys.add(t.key()));
    }
    state.load().retain(keys);
    state.prefixes().retain(preferredKeys);
  }

  /** Returns the routing table in use. */
  public RoutingTable table() {
    return snapshot.table;
  }

  /** Returns the preferred groups, whose cache events this entry should read. */
  public List<Target> preferredGroups() {
    return preferred().stream().filter(t -> t.kind() == InstanceKind.ENGINE).toList();
  }

  /** Returns the preferred targets, whose load reports this entry should read. */
  public List<Target> preferred() {
    return snapshot.pools.values().stream().flatMap(p -> p.subset().stream()).toList();
  }

  /** Applies the load report of an instance; ignored if the instance receives no requests. */
  public void onLoadReport(String instance, LoadReport report) {
    Target t = snapshot.byInstance.get(instance);
    if (t != null) {
      state.load().onReport(t, report);
    }
  }

  /** Applies the cache events of an engine; ignored if the instance receives no requests. */
  public void onCacheEvents(String instance, String boot, List<CacheEvent> cacheEvents) {
    Target t = snapshot.byInstance.get(instance);
    if (t != null) {
      state.prefixes().onEvents(t, boot, cacheEvents);
    }
  }

  /** Ejects and restores slow targets; to be called about once per second. */
  public void tick(long nowMillis) {
    for (Map.Entry<String, TargetPool> p : snapshot.pools.entrySet()) {
      Set<String> keys = new HashSet<>();
      p.getValue().all().forEach(t -> keys.add(t.key()));
      for (StragglerDetector.Change c : state.stragglers().evaluate(p.getKey(), keys, nowMillis)) {
        events.emit(
            c.ejected() ? EventCode.STRAGGLER_EJECTED : EventCode.STRAGGLER_RESTORED,
            c.key(),
            Map.of("slowShare", String.format(java.util.Locale.ROOT, "%.2f", c.slowShare())));
      }
    }
  }

  /** Returns whether any target of a model or a service is in service and not suspected. */
  public boolean inService(InstanceKind kind, String pool) {
    TargetPool p = snapshot.pools.get(Target.poolKey(kind, pool));
    return p != null && p.all().stream().anyMatch(t -> !state.suspicion().isSuspected(t));
  }

  /** Returns whether any target outside of the set is in service and not suspected. */
  public boolean hasUntried(InstanceKind kind, String pool, Set<String> tried) {
    TargetPool p = snapshot.pools.get(Target.poolKey(kind, pool));
    return p != null
        && p.all().stream()
            .anyMatch(t -> !tried.contains(t.key()) && !state.suspicion().isSuspected(t));
  }

  /**
   * Selects a target and reserves capacity there.
   *
   * @param r the request
   * @param nowMillis the monotonic time in milliseconds
   * @return the reservation, or empty if no untried target has a free slot
   * @throws EbonypondException {@code unknown-model} or {@code unknown-service} if the document
   *     does not declare the pool; {@code invariant-violated} if the selected target is not allowed
   *     to serve
   */
  public Optional<Reservation> choose(RouteRequest r, long nowMillis) {
    Snapshot s = snapshot;
    String poolKey = Target.poolKey(r.kind(), r.pool());
    TargetPool p = s.pools.get(poolKey);
    if (p == null) {
      throw new EbonypondException(
          r.kind() == InstanceKind.ENGINE ? ErrorCode.UNKNOWN_MODEL : ErrorCode.UNKNOWN_SERVICE,
          r.pool());
    }
    Choice c = new Choice(s.table, r, nowMillis, random(r.id()));
    Set<String> ejected = state.stragglers().ejected(poolKey);
    if (!ejected.isEmpty()) {
      Optional<Reservation> probe = probe(c, p, poolKey, ejected);
      if (probe.isPresent()) {
        return probe;
      }
    }
    boolean subsetFirst = policy.prefersSubset();
    List<Target> first = usable(subsetFirst ? p.subset() : p.all(), r, ejected);
    Optional<Reservation> found = reserve(c, first);
    if (found.isPresent()) {
      return found;
    }
    c.recordHint = false;
    List<Target> rest = subsetFirst ? usable(p.rest(), r, ejected) : List.of();
    found = reserve(c, rest);
    if (found.isPresent() || !first.isEmpty() || !rest.isEmpty() || ejected.isEmpty()) {
      return found;
    }
    // If only ejected targets are left, they are used: a slow answer is better than none.
    return reserve(c, usable(p.all(), r, Set.of()));
  }

  /**
   * Selects one of several waiting requests and a target for it. While the pool is saturated, this
   * is the request with the largest fraction of its prompt cached at a target with a free slot;
   * otherwise, or if nothing is cached, it is the first request.
   *
   * @param requests requests of one pool, the next in queue order first; not empty
   * @param nowMillis the monotonic time in milliseconds
   * @return the reservation, which holds the selected request, or empty if there is no free slot
   * @throws EbonypondException as {@link #choose}
   */
  public Optional<Reservation> chooseAny(List<RouteRequest> requests, long nowMillis) {
    RouteRequest head = requests.get(0);
    Snapshot s = snapshot;
    String poolKey = Target.poolKey(head.kind(), head.pool());
    TargetPool p = s.pools.get(poolKey);
    if (requests.size() == 1 || p == null || !policy.usesPrefixes()) {
      return choose(head, nowMillis);
    }
    Set<String> ejected = state.stragglers().ejected(poolKey);
    List<Target> free = new ArrayList<>();
    for (Target t : p.subset()) {
      if (state.load().estimate(t, nowMillis).requests() < t.maxConcurrency()) {
        free.add(t);
      }
    }
    if (free.isEmpty() || free.size() > SATURATED_MAX_FREE) {
      return choose(head, nowMillis);
    }
    Choice best = null;
    Target target = null;
    double bestFraction = 0;
    for (RouteRequest r : requests) {
      Choice c = new Choice(s.table, r, nowMillis, random(r.id()));
      for (Target t : free) {
        double fraction = c.cachedTokens(t, r) / Math.max(1, r.promptTokens());
        if (fraction > bestFraction && isUsable(t, r, ejected)) {
          best = c;
          target = t;
          bestFraction = fraction;
        }
      }
    }
    Reservation reservation = best == null || target == null ? null : best.tryReserve(target);
    return reservation == null ? choose(head, nowMillis) : Optional.of(reservation);
  }

  private Optional<Reservation> probe(Choice c, TargetPool p, String poolKey, Set<String> ejected) {
    for (Target t : p.all()) {
      if (ejected.contains(t.key())
          && isUsable(t, c.request, Set.of())
          && state.stragglers().tryProbe(poolKey, t.key(), c.now)) {
        return Optional.ofNullable(c.tryReserve(t));
      }
    }
    return Optional.empty();
  }

  private Optional<Reservation> reserve(Choice c, List<Target> usable) {
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    for (Target t : policy.rank(c.request, usable, c)) {
      Reservation reservation = c.tryReserve(t);
      if (reservation != null) {
        return Optional.of(reservation);
      }
    }
    return Optional.empty();
  }

  private List<Target> usable(List<Target> targets, RouteRequest r, Set<String> ejected) {
    boolean all = true;
    for (int i = 0; all && i < targets.size(); i++) {
      all = isUsable(targets.get(i), r, ejected);
    }
    if (all) {
      return targets;
    }
    List<Target> out = new ArrayList<>(targets.size());
    for (Target t : targets) {
      if (isUsable(t, r, ejected)) {
        out.add(t);
      }
    }
    return out;
  }

  private boolean isUsable(Target t, RouteRequest r, Set<String> ejected) {
    return !(!r.tried().isEmpty() && r.tried().contains(t.key()))
        && !(!ejected.isEmpty() && ejected.contains(t.key()))
        && !state.suspicion().isSuspected(t);
  }

  private RandomGenerator random(String requestId) {
    Stripe s = stripes[Math.floorMod(requestId.hashCode(), STRIPES)];
    synchronized (s) {
      return new SplittableRandom(s.random.nextLong());
    }
  }

  /** A random source with its own lock, so that concurrent decisions rarely share one. */
  private static final class Stripe {
    private final SplittableRandom random;

    Stripe(long seed) {
      this.random = new SplittableRandom(seed);
    }
  }

  /** The targets that one control view allows to serve; immutable. */
  private record Snapshot(
      RoutingTable table, Map<String, TargetPool> pools, Map<String, Target> byInstance) {
    static Snapshot of(RoutingTable table, RouterSettings settings) {
      Map<String, TargetPool> pools = new HashMap<>();
      Map<String, Target> byInstance = new HashMap<>();
      for (String m : table.models()) {
        List<Target> all = table.model(m);
        if (all != null) {
          pools.put(Target.poolKey(InstanceKind.ENGINE, m), TargetPool.of(all, settings));
          all.forEach(t -> byInstance.put(t.instance(), t));
        }
      }
      for (String n : table.services()) {
        List<Target> all = table.service(n);
        if (all != null) {
          pools.put(Target.poolKey(InstanceKind.SERVICE, n), TargetPool.of(all, settings));
          all.forEach(t -> byInstance.put(t.instance(), t));
        }
      }
      return new Snapshot(table, pools, byInstance);
    }
  }

  /** The inputs of one routing decision. */
  private final class Choice implements RoutingPolicy.Context {
    private final RoutingTable table;
    private final RouteRequest request;
    private final long now;
    private final RandomGenerator random;
    private final long number = sequence.getAndIncrement();

    /** Hints are recorded only for the preferred subset, which bounds their memory. */
    private boolean recordHint = policy.prefersSubset();

    Choice(RoutingTable table, RouteRequest request, long now, RandomGenerator random) {
      this.table = table;
      this.request = request;
      this.now = now;
      this.random = random;
    }

    @Nullable Reservation tryReserve(Target t) {
      table.check(t);
      long tokens =
          t.kind() == InstanceKind.ENGINE
              ? request.promptTokens()
                  + state.lengths().expected(request.pool(), request.workspace())
              : CALL_TOKENS;
      LoadEstimator.Ticket ticket = state.load().tryStart(t, tokens, now);
      if (ticket == null) {
        return null;
      }
      if (!slots.tryAcquire(t, now)) {
        state.load().end(ticket, now);
        return null;
      }
      if (recordHint) {
        state.prefixes().onRouted(t, request.prefix());
      }
      return new Reservation(request, t, now, ticket, closer);
    }

    @Override
    public LoadEstimate load(Target t) {
      LoadEstimate e = state.load().estimate(t, now);
      return t.kind() == InstanceKind.ENGINE
          ? e
          : new LoadEstimate(e.requests(), e.requests() * CALL_TOKENS);
    }

    @Override
    public double cachedTokens(Target t, RouteRequest r) {
      int blocks = r.prefix().size();
      if (blocks == 0) {
        return 0;
      }
      // Blocks have a fixed length in bytes; the prompt's token count gives the tokens per block.
      double perBlock = Math.min(r.promptTokens() / (double) blocks, PromptBlocks.BLOCK_BYTES);
      return state.prefixes().cachedBlocks(t, r.prefix()) * perBlock;
    }

    @Override
    public long zonePenalty(Target t) {
      return t.zone().equals(settings.zone()) ? 0 : settings.remoteZoneTokens();
    }

    @Override
    public long sequence() {
      return number;
    }

    @Override
    public RandomGenerator random() {
      return random;
    }
  }

  /** Releases the capacity of ended reservations and records their results. */
  private final class Closer implements Reservation.Closer {
    @Override
    public void completed(Reservation r, int outputTokens, double latencyMillis, long now) {
      released(r, now);
      Target t = r.target();
      if (t.kind() == InstanceKind.ENGINE) {
        state.lengths().record(t.pool(), r.request().workspace(), outputTokens);
      }
      state.stragglers().record(t.poolKey(), t.key(), latencyMillis, r.startedAtMillis(), now);
    }

    @Override
    public void failed(Reservation r, long now) {
      state.load().end(r.ticket(), now);
      slots.lost(r.target(), now);
      Target t = r.target();
      state
          .stragglers()
          .record(t.poolKey(), t.key(), Double.POSITIVE_INFINITY, r.startedAtMillis(), now);
    }

    @Override
    public void released(Reservation r, long now) {
      state.load().end(r.ticket(), now);
      slots.release(r.target(), now);
    }
  }
}
