package org.ebonypond.server.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.NamedLimit;
import org.ebonypond.fleet.NamedLimits;
import org.ebonypond.forward.ArrivalGuard;
import org.ebonypond.forward.EntryTurns;
import org.ebonypond.forward.InstanceNotices;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.RelayChooser;
import org.ebonypond.forward.RetryAllowance;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.quarantine.PartQuarantine;
import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.server.http1.HttpCall;
import org.ebonypond.server.http1.HttpService;
import org.ebonypond.server.timer.LoopTime;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives the calls of an entry and holds their shared state. Confined to one event loop. */
public final class Forwarder implements HttpService {
  private static final Logger LOG = LoggerFactory.getLogger(Forwarder.class);

  /**
   * The longest pause that an instance can ask for, in milliseconds: an hour, so that a malformed
   * value does not keep an instance without requests for good.
   */
  private static final long MAX_PAUSE_MILLIS = 3_600_000;

  /** Interval of the check for stalled calls, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 40;

  /** Connections that this entry may open to one instance, whatever the number of entries. */
  private static final int MIN_CONNECTIONS = 4;

  private final FleetView view;
  private final BackendPool pool;
  private final CallDialect dialect;
  private final TargetSelector selector;
  private final RetryAllowance allowance;
  private final ArrivalGuard guard;
  private final EntryTurns turns;
  private final PartQuarantine quarantine;
  private final NamedLimits limits = new NamedLimits();
  private final InstancePaths paths;
  private final TimerService timers;
  private final LoopTime loopTime;
  private final RandomGenerator random;
  private final ForwardMetrics metrics;
  private final ConfigAgeLimits configAges;
  private final Map<String, InstanceStats> stats = new HashMap<>();
  private final Set<ForwardCall> calls = new LinkedHashSet<>();
  private final BufferedAnswers<Attempt> bufferedAnswers = new BufferedAnswers<>();
  private final CallQueue queue;
  private long received;
  private final InstanceNotices notices = new InstanceNotices();
  private boolean refusing;
  private long stopsAt = Long.MAX_VALUE;

  /**
   * Creates a forwarder.
   *
   * @param view this entry's view of the fleet
   * @param pool the connections to backend servers
   * @param dialect converts requests and answers from and to HTTP
   * @param selector chooses the instance of a call
   * @param allowance limits the calls that are sent again
   * @param guard limits the rate of calls to one instance
   * @param turns limits the rate of calls to instances that name a limit for all entries
   * @param quarantine decides which prompt parts are refused because they crash instances
   * @param relays chooses the entry that relays connections which this entry cannot open
   * @param timers provides the clock and the periodic check
   * @param random chooses among the services of a route
   * @param metrics counts the outcomes
   * @param heartbeatMillis the time between two heartbeats of an instance, in milliseconds
   * @param configAges what may be done by a configuration that may be an old one
   */
  public Forwarder(
      FleetView view,
      BackendPool pool,
      CallDialect dialect,
      TargetSelector selector,
      RetryAllowance allowance,
      ArrivalGuard guard,
      EntryTurns turns,
      PartQuarantine quarantine,
      RelayChooser relays,
      TimerService timers,
      RandomGenerator random,
      ForwardMetrics metrics,
      long heartbeatMillis,
      ConfigAgeLimits configAges) {
    this.view = view;
    this.pool = pool;
    this.dialect = dialect;
    this.selector = selector;
    this.allowance = allowance;
    this.guard = guard;
    this.turns = turns;
    this.quarantine = quarantine;
    this.paths = new InstancePaths(view, pool, relays, timers);
    this.timers = timers;
    this.random = random;
    this.metrics = metrics;
    this.configAges = configAges;
    this.queue = new CallQueue(heartbeatMillis);
    this.loopTime = new LoopTime(timers, CHECK_INTERVAL_MILLIS);
    timers.every(CHECK_INTERVAL_MILLIS, this::checkCalls);
  }

  @Override
  public void handle(HttpCall call) {
    received++;
    CallHead head;
    try {
      head = dialect.decode(call);
    } catch (EbonypondException e) {
      LOG.atInfo()
          .addKeyValue("peer", call.peer())
          .addKeyValue("reason", e.getMessage())
          .log("malformed request");
      metrics.ended("unknown", "refused", "malformed", 0);
      call.answer(
          dialect.localResponse(HttpResponseStatus.BAD_REQUEST, "", 0), Unpooled.EMPTY_BUFFER);
      return;
    }
    new ForwardCall(this, call, head).start();
  }

  /**
   * Returns the load that this entry puts on each instance, to be reported to the other entries.
   */
  public List<InstanceLoad> loads() {
    List<InstanceLoad> out = new ArrayList<>();
    stats.forEach(
        (id, s) -> {
          long idle = s.isUnread() ? InstanceLoad.NEVER : s.idleMillis();
          InstanceLoad seen =
              new InstanceLoad(
                  id, s.epoch(), s.active(), s.prefillTokens(), idle, s.failingMillis());
          InstanceLoad load = paths.isLost(id) ? seen.ofUnreachable() : seen;
          if (load.active() > 0 || load.failingMillis() > 0) {
            out.add(load);
          }
        });
    return out;
  }

  /** Returns the limits that instances named to this entry. */
  public List<NamedLimit> limits() {
    return limits.own(timers.nowMillis());
  }

  /** Merges the limits that instances named to other entries. */
  public void mergeLimits(List<NamedLimit> reported) {
    for (NamedLimit l : limits.merge(reported, false, timers.nowMillis())) {
      logLimit(l.instance(), l.perSecond(), l.ageMillis());
    }
  }

  /** Returns the number of instances that limit their requests. */
  public int limitedInstances() {
    return limits.size();
  }

  /**
   * Records the requests a second that an instance accepts.
   *
   * @param perSecond the rate; infinite if the instance names no limit, NaN if it cannot be read
   */
  void observeLimit(FleetInstance i, double perSecond) {
    if (Double.isNaN(perSecond)) {
      // A line of this level is dropped under load; each answer of the instance may bring one.
      LOG.atInfo().addKeyValue("instance", i.id()).log("limit of an instance cannot be read");
    } else if (limits.observe(i.id(), i.startMillis(), perSecond, timers.nowMillis())) {
      logLimit(i.id(), perSecond, 0);
    }
  }

  /** Records that an instance is leaving. */
  void observeLeaving(FleetInstance i) {
    if (notices.leaves(i.id(), i.startMillis())) {
      LOG.atInfo().addKeyValue("instance", i.id()).log("instance says that it is leaving");
    }
  }

  /** Records that an instance wants no requests for a time, in milliseconds. */
  void observePause(FleetInstance i, long millis) {
    long now = timers.nowMillis();
    long pauseMillis = Math.min(millis, MAX_PAUSE_MILLIS);
    if (notices.pauses(i.id(), i.startMillis(), now + pauseMillis, now)) {
      LOG.atInfo()
          .addKeyValue("instance", i.id())
          .addKeyValue("pause_ms", pauseMillis)
          .log("instance asks for a pause");
    }
  }

  /** Returns whether this entry reaches the instances of no service by itself. */
  public boolean isEveryPathLost() {
    return paths.isEveryLost();
  }

  /** Returns whether this entry can reach no instance of the service of an instance by itself. */
  public boolean isPathLost(String instance) {
    return paths.isLost(instance);
  }

  /** Returns the ways to the instances. */
  InstancePaths paths() {
    return paths;
  }

  private static void logLimit(String instance, double perSecond, long ageMillis) {
    LOG.atInfo()
        .addKeyValue("instance", instance)
        .addKeyValue("per_second", perSecond)
        .addKeyValue("age_ms", ageMillis)
        .log("instance changed its limit");
  }

  /** Records that a request is sent to an instance. */
  void recordSent(String instance, long now) {
    guard.sent(instance, now);
    turns.sent(instance);
  }

  /** Dispatches queued calls again because the view of the fleet has changed. */
  public void viewChanged() {
    queue.viewChanged(view.config() != null, timers.nowMillis());
  }

  /** Returns the number of calls since the start. */
  public long received() {
    return received;
  }

  /** Returns the number of calls in flight. */
  public int active() {
    return calls.size();
  }

  /** Returns the number of bytes in buffers of incomplete answers. */
  public long bufferedBytes() {
    return bufferedAnswers.total();
  }

  /**
   * Refuses all calls that arrive from now on. The process stops soon, and a long answer could not
   * be completed before.
   */
  public void refuseNew() {
    refusing = true;
  }

  /**
   * Sends nothing from now on that is not expected to be answered when the process stops. What
   * waits, or is to be sent again, is refused in time for another entry.
   *
   * @param at when calls in flight are ended, in milliseconds
   */
  public void stopAt(long at) {
    stopsAt = at;
    queue.redispatch(timers.nowMillis());
  }

  /** Returns when calls in flight are ended, in milliseconds; {@code Long.MAX_VALUE} if never. */
  long stopsAt() {
    return stopsAt;
  }

  boolean isRefusing() {
    return refusing;
  }

  /** Ends every call in flight because the process is about to stop. */
  public void endAll() {
    List.copyOf(calls).forEach(ForwardCall::shutDown);
  }

  /**
   * Returns the instances to which a call of a service may be sent, now or when they accept more.
   */
  List<TargetSelector.Candidate> candidates(ServiceProfile service, @Nullable String model) {
    long now = timers.nowMillis();
    int entries = view.entries();
    int maxConnections = Math.max(MIN_CONNECTIONS, service.maxConnections() / entries);
    List<TargetSelector.Candidate> out = new ArrayList<>();
    for (FleetInstance i : view.instances()) {
      boolean eligible =
          i.service().equals(service.name())
              && i.phase() == InstancePhase.READY
              && !notices.isLeaving(i.id(), i.startMillis())
              && !view.isOut(i.zone())
              && (service.engine() == null
                  || (i.servesGroup() && (model == null || i.models().contains(model))));
      if (!eligible) {
        continue;
      }
      boolean connectionAvailable =
          pool.hasIdle(i.id()) || pool.connections(i.id()) < maxConnections;
      boolean cold = i.coldMillis() > 0 || view.isRecentlyRestored(i.zone(), now);
      if (connectionAvailable
          && guard.allows(i.id(), service.coldPerSecond(), cold, entries, now)) {
        InstanceStats s = stats(i.id());
        s.onGroupEpoch(i.group() == null ? 0 : i.group().epoch());
        double accepted = limits.perSecond(i.id(), i.startMillis());
        boolean limited =
            notices.isPaused(i.id(), i.startMillis(), now)
                || !turns.isTurn(i.id(), accepted, entries, now);
        out.add(new TargetSelector.Candidate(i, s, view.loadOfOthers(i.id()), limited));
      }
    }
    return out;
  }

  InstanceStats stats(String instance) {
    return stats.computeIfAbsent(instance, i -> new InstanceStats(loopTime::millis));
  }

  void opened(ForwardCall c) {
    calls.add(c);
  }

  void closed(ForwardCall c) {
    calls.remove(c);
  }

  BufferedAnswers<Attempt> bufferedAnswers() {
    return bufferedAnswers;
  }

  CallQueue queue() {
    return queue;
  }

  ConfigAgeLimits configAges() {
    return configAges;
  }

  FleetView view() {
    return view;
  }

  BackendPool pool() {
    return pool;
  }

  CallDialect dialect() {
    return dialect;
  }

  TargetSelector selector() {
    return selector;
  }

  RetryAllowance allowance() {
    return allowance;
  }

  PartQuarantine quarantine() {
    return quarantine;
  }

  TimerService timers() {
    return timers;
  }

  /** Returns the time by which the silence of instances is measured. */
  LoopTime loopTime() {
    return loopTime;
  }

  RandomGenerator random() {
    return random;
  }

  ForwardMetrics metrics() {
    return metrics;
  }

  private void checkCalls() {
    long now = timers.nowMillis();
    guard.prune(now);
    turns.retain(id -> view.instance(id) != null);
    notices.retain(id -> view.instance(id) != null);
    paths.check(now);
    if (!loopTime.isCatchingUp()) {
      for (ForwardCall c : List.copyOf(calls)) {
        c.checkProgress(now);
      }
    }
    queue.redispatch(now);
    stats.entrySet().removeIf(e -> e.getValue().active() == 0 && view.instance(e.getKey()) == null);
  }
}
