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
 * Chooses the group or the plain service instance for a request and reserves capacity there.
 * Thread-safe; a choice reads one immutable routing table.
 */
public final class Router {
  /** The load in tokens that a plain call counts as, to compare it with the zone penalty. */
  static final long CALL_TOKENS = 64;

  /** Up to this number of targets with free slots the pool counts as saturated. */
  private static final int FEW_FREE = 4;

  private static final int STRIPES = 16;

  private final RouterSettings settings;
  private final RoutingPolicy policy;
  private final RouterState parts;
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
   * @param parts the loads, hints and scores of the entry
   * @param slots limits starting backend servers
   * @param events takes the events of ejections
   * @param random the source from which the randomness of all decisions is derived
   */
  public Router(
      RouterSettings settings,
      RoutingPolicy policy,
      RouterState parts,
      SlotLimiter slots,
      EventSink events,
      RandomGenerator random) {
    this.settings = settings;
    this.policy = policy;
    this.parts = parts;
    this.slots = slots;
    this.events = events;
    for (int i = 0; i < STRIPES; i++) {
      stripes[i] = new Stripe(random.nextLong());
    }
    this.snapshot = Snapshot.of(RoutingTable.EMPTY, settings);
  }

  /** Takes over a new control view; later choices use it. */
  public void onView(ControlView view) {
    onTable(RoutingTable.of(view));
  }

  /** Takes over the table of a new control view; later choices use it. */
  public void onTable(RoutingTable table) {
    Snapshot s = Snapshot.of(table, settings);
    parts.suspicion().onView(table.view());
    snapshot = s;
    Set<String> keys = new HashSet<>();
    Set<String> hinted = new HashSet<>();
    for (TargetPool p : s.pools.values()) {
      p.all().forEach(t -> keys.add(t.key()));
      p.subset().forEach(t -> hinted.add(t.key()));
    }
    parts.load().retain(keys);
    parts.prefixes().retain(hinted);
  }

  /** Returns the routing table in use. */
  public RoutingTable table() {
    return snapshot.table;
  }

  /** Returns the groups whose cache events this entry should read. */
  public List<Target> hinted() {
    return preferred().stream().filter(t -> t.kind() == InstanceKind.ENGINE).toList();
  }

  /** Returns the targets that this entry prefers, whose loads it should know. */
  public List<Target> preferred() {
    return snapshot.pools.values().stream().flatMap(p -> p.subset().stream()).toList();
  }

  /** Takes a load report of an instance; those of instances that take no requests are ignored. */
  public void onLoadReport(String instance, LoadReport report) {
    Target t = snapshot.byInstance.get(instance);
    if (t != null) {
      parts.load().onReport(t, report);
    }
  }

  /** Takes cache events of an engine; those of instances that take no requests are ignored. */
  public void onCacheEvents(String instance, String boot, List<CacheEvent> cacheEvents) {
    Target t = snapshot.byInstance.get(instance);
    if (t != null) {
      parts.prefixes().onEvents(t, boot, cacheEvents);
    }
  }

  /** Compares the latencies of targets; to be called about once per second. */
  public void tick(long nowMillis) {
    for (Map.Entry<String, TargetPool> p : snapshot.pools.entrySet()) {
      Set<String> keys = new HashSet<>();
      p.getValue().all().forEach(t -> keys.add(t.key()));
      for (StragglerDetector.Change c : parts.stragglers().evaluate(p.getKey(), keys, nowMillis)) {
        events.emit(
            c.ejected() ? EventCode.STRAGGLER_EJECTED : EventCode.STRAGGLER_RESTORED,
            c.key(),
            Map.of("slowShare", String.format(java.util.Locale.ROOT, "%.2f", c.slowShare())));
      }
    }
  }

  /** Returns whether a model or a service has a target that is in service and not suspected. */
  public boolean inService(InstanceKind kind, String pool) {
    TargetPool p = snapshot.pools.get(Target.poolKey(kind, pool));
    return p != null && p.all().stream().anyMatch(t -> !parts.suspicion().isSuspected(t));
  }

  /** Returns whether a target that is in service, not suspected and not in the set exists. */
  public boolean hasUntried(InstanceKind kind, String pool, Set<String> tried) {
    TargetPool p = snapshot.pools.get(Target.poolKey(kind, pool));
    return p != null
        && p.all().stream()
            .anyMatch(t -> !tried.contains(t.key()) && !parts.suspicion().isSuspected(t));
  }

  /**
   * Chooses a target and reserves capacity there.
   *
   * @param r the request
   * @param nowMillis the monotonic time in milliseconds
   * @return the reservation, or empty if no target that was not tried has a free slot
   * @throws EbonypondException {@code unknown-model} or {@code unknown-service} if the document
   *     declares no such pool; {@code invariant-violated} if the chosen target must not serve
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
    Set<String> ejected = parts.stragglers().ejected(poolKey);
    if (!ejected.isEmpty()) {
      Optional<Reservation> probe = probe(c, p, poolKey, ejected);
      if (probe.isPresent()) {
        return probe;
      }
    }
    boolean split = policy.prefersSubset();
    List<Target> first = usable(split ? p.subset() : p.all(), r, ejected);
    Optional<Reservation> found = reserve(c, first);
    if (found.isPresent()) {
      return found;
    }
    c.hint = false;
    List<Target> rest = split ? usable(p.rest(), r, ejected) : List.of();
    found = reserve(c, rest);
    if (found.isPresent() || !first.isEmpty() || !rest.isEmpty() || ejected.isEmpty()) {
      return found;
    }
    // Only ejected targets are left: a slow answer is better than none.
    return reserve(c, usable(p.all(), r, Set.of()));
  }

  /**
   * Chooses one of several waiting requests and a target for it. While few targets have a free
   * slot, it is the request with the largest part of its prompt cached at one of them; otherwise,
   * or if none has any part cached, it is the first.
   *
   * @param requests requests of one pool, the one whose turn it is first; not empty
   * @param nowMillis the monotonic time in milliseconds
   * @return the reservation, which names the chosen request, or empty if there is no free slot
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
    Set<String> ejected = parts.stragglers().ejected(poolKey);
    List<Target> free = new ArrayList<>();
    for (Target t : p.subset()) {
      if (parts.load().estimate(t, nowMillis).requests() < t.maxConcurrency()) {
        free.add(t);
      }
    }
    if (free.isEmpty() || free.size() > FEW_FREE) {
      return choose(head, nowMillis);
    }
    Choice best = null;
    Target target = null;
    double bestShare = 0;
    for (RouteRequest r : requests) {
      Choice c = new Choice(s.table, r, nowMillis, random(r.id()));
      for (Target t : free) {
        double share = c.cachedTokens(t, r) / Math.max(1, r.promptTokens());
        if (share > bestShare && isUsable(t, r, ejected)) {
          best = c;
          target = t;
          bestShare = share;
        }
      }
    }
    Reservation x = best == null || target == null ? null : best.take(target);
    return x == null ? choose(head, nowMillis) : Optional.of(x);
  }

  private Optional<Reservation> probe(Choice c, TargetPool p, String poolKey, Set<String> ejected) {
    for (Target t : p.all()) {
      if (ejected.contains(t.key())
          && isUsable(t, c.request, Set.of())
          && parts.stragglers().tryProbe(poolKey, t.key(), c.now)) {
        return Optional.ofNullable(c.take(t));
      }
    }
    return Optional.empty();
  }

  private Optional<Reservation> reserve(Choice c, List<Target> usable) {
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    for (Target t : policy.rank(c.request, usable, c)) {
      Reservation x = c.take(t);
      if (x != null) {
        return Optional.of(x);
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
        && !parts.suspicion().isSuspected(t);
  }

  private RandomGenerator random(String requestId) {
    Stripe s = stripes[Math.floorMod(requestId.hashCode(), STRIPES)];
    synchronized (s) {
      return new SplittableRandom(s.random.nextLong());
    }
  }

  private static final class Stripe {
    private final SplittableRandom random;

    Stripe(long seed) {
      this.random = new SplittableRandom(seed);
    }
  }

  /** What one control view allows; immutable. */
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

  /** One decision. */
  private final class Choice implements RoutingPolicy.Context {
    private final RoutingTable table;
    private final RouteRequest request;
    private final long now;
    private final RandomGenerator random;
    private final long number = sequence.getAndIncrement();

    /** Hints are kept only for the preferred subset, which bounds their memory. */
    private boolean hint = policy.prefersSubset();

    Choice(RoutingTable table, RouteRequest request, long now, RandomGenerator random) {
      this.table = table;
      this.request = request;
      this.now = now;
      this.random = random;
    }

    @Nullable Reservation take(Target t) {
      table.check(t);
      long tokens =
          t.kind() == InstanceKind.ENGINE
              ? request.promptTokens()
                  + parts.lengths().expected(request.pool(), request.workspace())
              : CALL_TOKENS;
      LoadEstimator.Ticket ticket = parts.load().tryStart(t, tokens, now);
      if (ticket == null) {
        return null;
      }
      if (!slots.tryAcquire(t, now)) {
        parts.load().end(ticket, now);
        return null;
      }
      if (hint) {
        parts.prefixes().onRouted(t, request.prefix());
      }
      return new Reservation(request, t, now, ticket, closer);
    }

    @Override
    public LoadEstimate load(Target t) {
      LoadEstimate e = parts.load().estimate(t, now);
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
      // Blocks are counted in bytes; the prompt's own length tells the tokens of a block.
      double perBlock = Math.min(r.promptTokens() / (double) blocks, PromptBlocks.BLOCK_BYTES);
      return parts.prefixes().cachedBlocks(t, r.prefix()) * perBlock;
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

  /** Returns the capacity of a reservation. */
  private final class Closer implements Reservation.Closer {
    @Override
    public void completed(Reservation r, int outputTokens, double latencyMillis, long now) {
      released(r, now);
      Target t = r.target();
      if (t.kind() == InstanceKind.ENGINE) {
        parts.lengths().record(t.pool(), r.request().workspace(), outputTokens);
      }
      parts.stragglers().record(t.poolKey(), t.key(), latencyMillis, r.startedAtMillis(), now);
    }

    @Override
    public void failed(Reservation r, long now) {
      parts.load().end(r.ticket(), now);
      slots.lost(r.target(), now);
      Target t = r.target();
      parts
          .stragglers()
          .record(t.poolKey(), t.key(), Double.POSITIVE_INFINITY, r.startedAtMillis(), now);
    }

    @Override
    public void released(Reservation r, long now) {
      parts.load().end(r.ticket(), now);
      slots.release(r.target(), now);
    }
  }
}
