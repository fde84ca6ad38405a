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
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.forward.ArrivalGuard;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.RetryAllowance;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.server.http1.HttpCall;
import org.ebonypond.server.http1.HttpService;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes the calls of an entry and owns what they share. Used on one event loop only. */
public final class Forwarder implements HttpService {
  private static final Logger LOG = LoggerFactory.getLogger(Forwarder.class);

  /** How often calls at instances that make no progress are looked at, in milliseconds. */
  private static final long WATCH_MILLIS = 40;

  /** Connections of one instance that this entry may open, whatever the number of entries. */
  private static final int MIN_CONNECTIONS = 4;

  private final FleetView view;
  private final BackendPool pool;
  private final CallDialect dialect;
  private final TargetSelector selector;
  private final RetryAllowance allowance;
  private final ArrivalGuard guard;
  private final TimerService timers;
  private final RandomGenerator random;
  private final ForwardMetrics metrics;
  private final Map<String, InstanceStats> stats = new HashMap<>();
  private final Set<ForwardCall> calls = new LinkedHashSet<>();
  private final HeldAnswers<ForwardCall.Attempt> held = new HeldAnswers<>();
  private final CallQueue queue;
  private long received;
  private boolean refusing;

  /**
   * Creates a forwarder.
   *
   * @param view what this entry believes about the fleet
   * @param pool connections to backend servers
   * @param dialect the HTTP form of requests and answers
   * @param selector chooses instances
   * @param allowance bounds repeated sends
   * @param guard bounds the sends to one instance
   * @param timers gives the time
   * @param random chooses between the services of a route
   * @param metrics counts the outcomes
   * @param heartbeatMillis the time between two heartbeats of an instance, in milliseconds
   */
  public Forwarder(
      FleetView view,
      BackendPool pool,
      CallDialect dialect,
      TargetSelector selector,
      RetryAllowance allowance,
      ArrivalGuard guard,
      TimerService timers,
      RandomGenerator random,
      ForwardMetrics metrics,
      long heartbeatMillis) {
    this.view = view;
    this.pool = pool;
    this.dialect = dialect;
    this.selector = selector;
    this.allowance = allowance;
    this.guard = guard;
    this.timers = timers;
    this.random = random;
    this.metrics = metrics;
    this.queue = new CallQueue(heartbeatMillis);
    timers.every(WATCH_MILLIS, this::watch);
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
      call.answer(dialect.own(HttpResponseStatus.BAD_REQUEST, "", 0), Unpooled.EMPTY_BUFFER);
      return;
    }
    new ForwardCall(this, call, head).start();
  }

  /** Returns the work of this entry at each instance, for the other entries. */
  public List<HeadLoad> loads() {
    long now = timers.nowMillis();
    List<HeadLoad> out = new ArrayList<>();
    stats.forEach(
        (id, s) -> {
          long distrust = s.distrustMillis(now);
          if (s.active() > 0 || distrust > 0) {
            long idle = s.active() > 0 ? s.idleMillis(now) : HeadLoad.NEVER;
            out.add(new HeadLoad(id, s.epoch(), s.active(), s.prefillTokens(), idle, distrust));
          }
        });
    return out;
  }

  /** Goes on with calls that wait for the view of the fleet, which has changed. */
  public void viewChanged() {
    queue.viewChanged(view.config() != null, timers.nowMillis());
  }

  /** Returns the number of calls since the start. */
  public long received() {
    return received;
  }

  /** Returns the number of calls that are under way. */
  public int active() {
    return calls.size();
  }

  /** Returns the bytes of answers that are held until they are whole. */
  public long heldBytes() {
    return held.total();
  }

  /**
   * Refuses the calls that come from now on. The process stops soon: a long answer could not be
   * finished.
   */
  public void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  /** Ends every call that is under way; the process is about to stop. */
  public void endAll() {
    List.copyOf(calls).forEach(ForwardCall::shutDown);
  }

  /** Returns the instances that may take a call of a service now. */
  List<TargetSelector.Candidate> candidates(ServiceProfile service, @Nullable String model) {
    long now = timers.nowMillis();
    int entries = view.entries();
    int connections = Math.max(MIN_CONNECTIONS, service.maxConnections() / entries);
    List<TargetSelector.Candidate> out = new ArrayList<>();
    for (FleetInstance i : view.instances()) {
      boolean fits =
          i.service().equals(service.name())
              && i.phase() == InstancePhase.READY
              && !view.isOut(i.zone())
              && (service.engine() == null
                  || (i.servesGroup() && (model == null || i.models().contains(model))));
      if (!fits) {
        continue;
      }
      boolean connected = pool.hasIdle(i.id()) || pool.connections(i.id()) < connections;
      boolean cold = i.coldMillis() > 0 || view.cameBack(i.zone(), now);
      if (connected && guard.allows(i.id(), service.coldPerSecond(), cold, entries, now)) {
        InstanceStats s = stats(i.id());
        s.onGroupEpoch(i.group() == null ? 0 : i.group().epoch());
        out.add(new TargetSelector.Candidate(i, s, view.others(i.id())));
      }
    }
    return out;
  }

  InstanceStats stats(String instance) {
    return stats.computeIfAbsent(instance, i -> new InstanceStats());
  }

  void opened(ForwardCall c) {
    calls.add(c);
  }

  void closed(ForwardCall c) {
    calls.remove(c);
  }

  HeldAnswers<ForwardCall.Attempt> held() {
    return held;
  }

  CallQueue queue() {
    return queue;
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

  ArrivalGuard guard() {
    return guard;
  }

  TimerService timers() {
    return timers;
  }

  RandomGenerator random() {
    return random;
  }

  ForwardMetrics metrics() {
    return metrics;
  }

  private void watch() {
    long now = timers.nowMillis();
    guard.prune(now);
    for (ForwardCall c : List.copyOf(calls)) {
      c.watch(now);
    }
    queue.tryAgain();
    stats.entrySet().removeIf(e -> e.getValue().active() == 0 && view.instance(e.getKey()) == null);
  }
}
