package org.ebonypond.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.ebonypond.admission.AdmissionController;
import org.ebonypond.admission.AdmissionRequest;
import org.ebonypond.admission.Decision;
import org.ebonypond.admission.ServiceRates;
import org.ebonypond.admission.SlotSource;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.routing.Reservation;
import org.ebonypond.routing.RouteRequest;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.Target;
import org.ebonypond.time.TimerService;

/**
 * Admits requests, routes them and reserves a slot at a backend server for each. Thread-safe; no
 * lock of the gate is held while a decision is delivered.
 */
public final class RequestGate implements SlotSource<Reservation> {
  private static final long TICK_MILLIS = 50;
  private static final String MODEL_PREFIX = "model/";

  private final Router router;
  private final TimerService timers;
  private final AdmissionController<Reservation> admission;
  private final Map<String, Waiting> waiting = new ConcurrentHashMap<>();

  /**
   * Creates a gate.
   *
   * @param router chooses backend servers
   * @param rates the measured service rates
   * @param timers provides the clock and the periodic tick
   */
  public RequestGate(Router router, ServiceRates rates, TimerService timers) {
    this.router = router;
    this.timers = timers;
    this.admission = new AdmissionController<>(this, rates);
  }

  /** Starts the periodic tick that admits or refuses waiting requests. */
  public void start() {
    timers.every(TICK_MILLIS, this::tick);
  }

  /** Applies the workspaces of a new view. */
  public void onView(ControlView view) {
    if (view.document() != null) {
      admission.configure(view.document());
    }
    // Not on this thread: it holds the follower's lock, and a call that holds its own lock asks the
    // follower for the lease, so that the two orders could deadlock.
    timers.after(0, this::tick);
  }

  /**
   * Submits a request.
   *
   * @param a the input of admission
   * @param r the input of the router
   * @param receiver receives exactly one decision, admitted or refused, possibly before this method
   *     returns
   */
  public void submit(AdmissionRequest a, RouteRequest r, Consumer<Decision<Reservation>> receiver) {
    waiting.put(a.id(), new Waiting(r, receiver));
    deliver(admission.arrive(a, timers.nowMillis()));
  }

  /** Withdraws a waiting request; its receiver is not called any more. */
  public void cancel(AdmissionRequest a) {
    waiting.remove(a.id());
    admission.cancel(a.pool(), a.id(), timers.nowMillis());
  }

  /** Releases the reservation of a request that was answered completely. */
  public void completed(
      AdmissionRequest a, Reservation r, int outputTokens, double comparedMillis) {
    long now = timers.nowMillis();
    long tokens = r.request().promptTokens() + outputTokens;
    r.complete(outputTokens, comparedMillis, now);
    admission.onCompleted(a, Math.max(1, tokens), now - r.startedAtMillis());
    onCapacityFreed(a.pool());
  }

  /** Releases the reservation of a request whose backend server failed or may still run it. */
  public void failed(AdmissionRequest a, Reservation r) {
    r.fail(timers.nowMillis());
    admission.onAbandoned(a);
    onCapacityFreed(a.pool());
  }

  /** Releases the reservation without counting a success or a failure of the backend server. */
  public void released(AdmissionRequest a, Reservation r) {
    r.release(timers.nowMillis());
    admission.onAbandoned(a);
    onCapacityFreed(a.pool());
  }

  /** Admits or refuses waiting requests; also called after a grant or a load report. */
  public void tick() {
    deliver(admission.tick(timers.nowMillis()));
  }

  /** Returns whether the pool of the request has a target in service that is not in the set. */
  public boolean hasUntried(RouteRequest r, Set<String> tried) {
    return router.hasUntried(r.kind(), r.pool(), tried);
  }

  /** Returns the number of waiting requests over all pools. */
  public int waitingCount() {
    return waiting.size();
  }

  @Override
  public Optional<Reservation> tryAcquire(AdmissionRequest request, long nowMillis) {
    Waiting w = waiting.get(request.id());
    return w == null ? Optional.empty() : choose(List.of(effectiveRoute(w.route)), nowMillis);
  }

  @Override
  public Optional<Grant<Reservation>> tryAcquireAny(
      List<AdmissionRequest> requests, long nowMillis) {
    Map<String, AdmissionRequest> byRoute = new HashMap<>();
    List<RouteRequest> routes = new ArrayList<>();
    for (AdmissionRequest r : requests) {
      Waiting w = waiting.get(r.id());
      if (w != null) {
        byRoute.put(w.route.id(), r);
        routes.add(effectiveRoute(w.route));
      }
    }
    // A retry may have to wait for a target that it has not tried; requests behind it may go first.
    for (int first = 0; first < routes.size(); first++) {
      Optional<Reservation> reservation = choose(routes.subList(first, routes.size()), nowMillis);
      if (reservation.isPresent()) {
        return Optional.of(
            new Grant<>(byRoute.get(reservation.get().request().id()), reservation.get()));
      }
      if (routes.get(first).tried().isEmpty()) {
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  /** Returns the route, with the tried targets cleared if no untried target is left. */
  private RouteRequest effectiveRoute(RouteRequest r) {
    return r.tried().isEmpty() || hasUntried(r, r.tried()) ? r : r.withTried(Set.of());
  }

  private Optional<Reservation> choose(List<RouteRequest> routes, long nowMillis) {
    try {
      return router.chooseAny(routes, nowMillis);
    } catch (EbonypondException e) {
      boolean removed =
          e.code() == ErrorCode.UNKNOWN_MODEL || e.code() == ErrorCode.UNKNOWN_SERVICE;
      if (removed) {
        // The document lacks the pool now; admission refuses its requests after a grace period.
        return Optional.empty();
      }
      throw e;
    }
  }

  @Override
  public boolean inService(String pool) {
    return pool.startsWith(MODEL_PREFIX)
        ? router.inService(InstanceKind.ENGINE, pool.substring(MODEL_PREFIX.length()))
        : router.inService(InstanceKind.SERVICE, pool.substring(pool.indexOf('/') + 1));
  }

  /** Returns the name of the pool whose admission queue a request enters. */
  public static String pool(RouteRequest r) {
    return Target.poolKey(r.kind(), r.pool());
  }

  /**
   * Returns the arguments of the message to the caller about a refusal.
   *
   * @param r the refusal
   * @param leftMillis the time to the deadline, in milliseconds; negative after the deadline
   */
  static Object[] messageArguments(Decision.Refused<?> r, long leftMillis) {
    return r.code() == ErrorCode.DEADLINE_TOO_CLOSE
        ? new Object[] {String.valueOf(r.expectedMillis()), String.valueOf(Math.max(0, leftMillis))}
        : new Object[] {r.request().workspace()};
  }

  private void onCapacityFreed(String pool) {
    // Not on this thread: it holds the lock of one call, and delivering the decisions takes the
    // locks of other calls.
    timers.after(0, () -> deliver(admission.serveWaiting(pool, timers.nowMillis())));
  }

  private void deliver(List<Decision<Reservation>> decisions) {
    RuntimeException first = null;
    for (Decision<Reservation> d : decisions) {
      try {
        deliver(d);
      } catch (RuntimeException e) {
        // Goes on with the other receivers, whose decisions may hold reservations.
        first = first == null ? e : first;
      }
    }
    if (first != null) {
      throw first;
    }
  }

  private void deliver(Decision<Reservation> d) {
    if (d instanceof Decision.Queued<Reservation>) {
      return;
    }
    Waiting w = waiting.remove(d.request().id());
    if (w != null) {
      w.receiver.accept(d);
      return;
    }
    if (d instanceof Decision.Admitted<Reservation> a) {
      // The request was withdrawn while it was being admitted.
      released(a.request(), a.reservation());
    }
  }

  private record Waiting(RouteRequest route, Consumer<Decision<Reservation>> receiver) {}
}
