package org.ebonypond.server.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ebonypond.admission.AdmissionRequest;
import org.ebonypond.admission.Decision;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.routing.Reservation;
import org.ebonypond.routing.RouteRequest;
import org.ebonypond.routing.Target;
import org.ebonypond.server.backend.BackendFailure;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.backend.ServiceRequest;
import org.ebonypond.server.http.Problem;
import org.jspecify.annotations.Nullable;

/**
 * Passes one call through admission, sends it to a plain service and reports the result. May be
 * used for several attempts, one after the other.
 */
final class ServiceDispatch {
  private final EntryParts parts;
  private final ServiceClient services;
  private final ServiceCallRequest request;
  private final Set<String> tried = new HashSet<>();
  private final AtomicReference<@Nullable AdmissionRequest> waiting = new AtomicReference<>();
  private int attempts;

  /** Receives the result of an attempt; one method is called, once, unless it is withdrawn. */
  interface Result {
    /** The backend server answered. */
    void answered(StoredAnswer answer);

    /** Admission refused the attempt, or the view lease has expired; nothing was sent. */
    void refused(Problem p);

    /** The attempt got no answer that can be used. */
    void failed(FailureKind kind, String detail);
  }

  ServiceDispatch(EntryParts parts, ServiceClient services, ServiceCallRequest request) {
    this.parts = parts;
    this.services = services;
    this.request = request;
  }

  /** Returns the number of attempts started so far. */
  int attempts() {
    return attempts;
  }

  /**
   * Starts an attempt.
   *
   * @param untilMillis the time until which the answer is awaited, on this entry's clock
   * @param result receives the result, possibly before this method returns
   */
  void start(long untilMillis, Result result) {
    RouteRequest route = RouteRequest.service(request.id(), request.service(), request.workspace());
    if (!parts.gate().hasUntried(route, tried)) {
      tried.clear();
    }
    AdmissionRequest a =
        new AdmissionRequest(
            request.id() + "#" + attempts++,
            RequestGate.pool(route),
            request.workspace(),
            request.priority(),
            1,
            request.deadlineMillis());
    waiting.set(a);
    Consumer<Decision<Reservation>> receiver = d -> decided(a, d, untilMillis, result);
    parts.gate().submit(a, route.withTried(tried), receiver);
  }

  /**
   * Withdraws an attempt that is queued in admission.
   *
   * @return whether it was withdrawn: nothing was or will be sent, and its result is never called
   */
  boolean withdraw() {
    AdmissionRequest a = waiting.getAndSet(null);
    if (a == null) {
      return false;
    }
    parts.gate().cancel(a);
    return true;
  }

  private void decided(
      AdmissionRequest a, Decision<Reservation> d, long untilMillis, Result result) {
    boolean withdrawn = !waiting.compareAndSet(a, null);
    if (d instanceof Decision.Admitted<Reservation> admitted) {
      if (withdrawn) {
        parts.gate().released(a, admitted.reservation());
        return;
      }
      dispatch(a, admitted.reservation(), untilMillis, result);
      return;
    }
    if (withdrawn) {
      return;
    }
    Decision.Refused<Reservation> r = (Decision.Refused<Reservation>) d;
    long left = request.deadlineMillis() - parts.timers().nowMillis();
    result.refused(
        Problem.notRun(r.code(), r.retryAfterSeconds(), RequestGate.messageArguments(r, left)));
  }

  private void dispatch(AdmissionRequest a, Reservation r, long untilMillis, Result result) {
    if (!parts.follower().mayStart()) {
      parts.gate().released(a, r);
      result.refused(Problem.notRun(ErrorCode.VIEW_STALE, 1));
      return;
    }
    Target t = r.target();
    tried.add(t.key());
    final String cause =
        parts
            .events()
            .emit(
                EventCode.REQUEST_DISPATCHED,
                "request/" + request.id(),
                Map.of("target", t.key(), "boot", t.boot()));
    services
        .call(
            new ServiceRequest(
                request.id(),
                t.address(),
                t.boot(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                Math.max(1, untilMillis - parts.timers().nowMillis())))
        .whenComplete((answer, failure) -> ended(a, r, answer, failure, cause, result));
  }

  private void ended(
      AdmissionRequest a,
      Reservation r,
      @Nullable StoredAnswer answer,
      @Nullable Throwable failure,
      String cause,
      Result result) {
    if (answer != null) {
      parts.gate().completed(a, r, 0, parts.timers().nowMillis() - r.startedAtMillis());
      result.answered(answer);
      return;
    }
    FailureKind kind = failure instanceof BackendFailure f ? f.kind() : FailureKind.BROKEN;
    if (kind == FailureKind.NOT_SENT || kind == FailureKind.NOT_RUN) {
      parts.gate().released(a, r);
    } else {
      parts.gate().failed(a, r);
    }
    if (kind != FailureKind.NOT_RUN) {
      suspect(r.target(), kind, cause);
    }
    result.failed(kind, String.valueOf(failure));
  }

  private void suspect(Target t, FailureKind kind, String cause) {
    long now = parts.timers().nowMillis();
    if (parts.routing().suspicion().suspect(t.instance(), t.boot(), now)) {
      parts
          .events()
          .emit(
              EventCode.INSTANCE_SUSPECTED,
              "instance/" + t.instance(),
              List.of(cause),
              Map.of("boot", t.boot(), "kind", kind.name()));
    }
  }
}
