package org.ebonypond.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ebonypond.admission.AdmissionController;
import org.ebonypond.admission.AdmissionRequest;
import org.ebonypond.admission.Decision;
import org.ebonypond.admission.ServiceRates;
import org.ebonypond.admission.SlotSource;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.events.EventCode;
import org.ebonypond.routing.Reservation;
import org.ebonypond.routing.RouteRequest;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.RouterSettings;
import org.ebonypond.routing.RouterState;
import org.ebonypond.routing.RoutingPolicy;
import org.ebonypond.routing.SlotLimiter;
import org.ebonypond.time.TimerService;

/**
 * One entry of the queueing model. It calls admission and routing in the same way as the daemon.
 */
final class EntryModel implements SlotSource<Reservation> {
  private static final long DEADLINE_MILLIS = 30_000;

  private final TimerService timers;
  private final Map<String, EngineModel> engines;
  private final Map<String, Call> calls = new HashMap<>();
  private final Router router;
  private final RouterState state = RouterState.create();
  private final AdmissionController<Reservation> admission =
      new AdmissionController<>(this, new ServiceRates());
  private final String name;
  private int nextId;
  private int ejections;

  /** A request and the statistics that count it. */
  private record Call(Workload.Arrival arrival, long arrivedAt, RoutingResult result) {}

  EntryModel(
      String name,
      String zone,
      RoutingPolicy policy,
      ControlView view,
      TimerService timers,
      Map<String, EngineModel> engines,
      long seed) {
    this.name = name;
    this.timers = timers;
    this.engines = engines;
    this.router =
        new Router(
            RouterSettings.of(name, zone),
            policy,
            state,
            SlotLimiter.NONE,
            this::onEvent,
            new SplittableRandom(seed));
    router.onView(view);
    ServiceDocument d = view.document();
    if (d != null) {
      admission.configure(d);
    }
    timers.every(100, () -> decide(admission.tick(timers.nowMillis()), false));
    timers.every(1_000, () -> router.tick(timers.nowMillis()));
  }

  private String onEvent(
      EventCode code, String subject, List<String> causes, Map<String, String> fields) {
    ejections += code == EventCode.STRAGGLER_EJECTED ? 1 : 0;
    return "";
  }

  /** Returns the number of times that the entry ejected a straggler. */
  int ejections() {
    return ejections;
  }

  Router router() {
    return router;
  }

  void arrive(Workload.Arrival a, RoutingResult result) {
    long now = timers.nowMillis();
    String id = name + "-" + nextId++;
    long tokens = a.promptTokens() + state.lengths().expected(BenchViews.MODEL, a.workspace());
    result.sent(a.workspace());
    calls.put(id, new Call(a, now, result));
    AdmissionRequest r =
        new AdmissionRequest(id, BenchViews.MODEL, a.workspace(), 5, tokens, now + DEADLINE_MILLIS);
    decide(List.of(admission.arrive(r, now)), true);
  }

  private void decide(List<Decision<Reservation>> decisions, boolean arrival) {
    for (Decision<Reservation> d : decisions) {
      if (d instanceof Decision.Admitted<Reservation> a) {
        dispatch(a.request(), a.reservation());
      } else if (d instanceof Decision.Refused<Reservation> r) {
        call(r.request().id(), true).result.refused(arrival);
      }
    }
  }

  private Call call(String id, boolean remove) {
    Call c = remove ? calls.remove(id) : calls.get(id);
    if (c == null) {
      throw new IllegalStateException("request " + id + " has ended");
    }
    return c;
  }

  private void dispatch(AdmissionRequest r, Reservation reservation) {
    Call c = call(r.id(), true);
    long started = timers.nowMillis();
    long[] first = new long[1];
    EngineModel.Job job =
        new EngineModel.Job(
            c.arrival.prompt(),
            c.arrival.promptTokens(),
            c.arrival.outputTokens(),
            produced -> {
              long now = timers.nowMillis();
              if (produced == 1) {
                first[0] = now;
                c.result.firstToken(now - c.arrivedAt);
                reservation.progress(c.arrival.promptTokens());
              }
              reservation.progress(1);
              if (produced >= c.arrival.outputTokens()) {
                c.result.completed(c.arrival.workspace(), now <= r.deadlineMillis());
                double perToken = produced > 1 ? (now - first[0]) / (produced - 1.0) : Double.NaN;
                reservation.complete(produced, perToken, now);
                admission.onCompleted(r, c.arrival.promptTokens() + produced, now - started);
                decide(admission.serveWaiting(r.pool(), now), false);
              }
            });
    EngineModel engine = engines.get(reservation.target().instance());
    if (engine == null) {
      throw new IllegalStateException("no engine " + reservation.target().instance());
    }
    // The one-way network latency within or between availability zones.
    timers.after(1, () -> engine.submit(job));
  }

  @Override
  public Optional<Reservation> tryAcquire(AdmissionRequest r, long nowMillis) {
    return router.choose(route(r), nowMillis);
  }

  @Override
  public Optional<Grant<Reservation>> tryAcquireAny(
      List<AdmissionRequest> requests, long nowMillis) {
    return router
        .chooseAny(requests.stream().map(this::route).toList(), nowMillis)
        .map(x -> new Grant<>(requestOf(requests, x.request().id()), x));
  }

  private static AdmissionRequest requestOf(List<AdmissionRequest> requests, String id) {
    return requests.stream().filter(r -> r.id().equals(id)).findFirst().orElseThrow();
  }

  private RouteRequest route(AdmissionRequest r) {
    Workload.Arrival a = call(r.id(), false).arrival;
    return RouteRequest.model(
        r.id(), BenchViews.MODEL, a.workspace(), a.promptTokens(), a.prompt());
  }

  @Override
  public boolean inService(String pool) {
    return router.inService(InstanceKind.ENGINE, pool);
  }
}
